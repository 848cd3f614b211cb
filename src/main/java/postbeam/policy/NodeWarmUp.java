package postbeam.policy;

import static postbeam.model.Durations.seconds;

import java.time.Duration;
import postbeam.model.SlidingWindowCounter;

/**
 * What this router lately sent one node, in seconds of work, and since when the node may be cold.
 */
final class NodeWarmUp {
    /** Drawn once from 0 to 1: rounds shares of less than one request at random among routers. */
    final double samplingThreshold;

    private final Duration countedWindow;
    private final SlidingWindowCounter work;
    private SlidingWindowCounter workOnAcquiredShards;
    private Duration unreachableAt;

    NodeWarmUp(double samplingThreshold, Duration countedWindow) {
        this.samplingThreshold = samplingThreshold;
        this.countedWindow = countedWindow;
        this.work = new SlidingWindowCounter(countedWindow);
    }

    void recordWork(Duration now, Duration sent) {
        work.add(now, seconds(sent));
    }

    void recordWorkOnAcquiredShard(Duration now, Duration sent) {
        if (workOnAcquiredShards == null) {
            workOnAcquiredShards = new SlidingWindowCounter(countedWindow);
        }
        workOnAcquiredShards.add(now, seconds(sent));
    }

    /** Seconds of work sent within the counted window, at least. */
    double recentWork(Duration now) {
        return work.upperBoundSum(now, countedWindow);
    }

    /** The same for shards that the node has lately acquired from others. */
    double recentWorkOnAcquiredShards(Duration now) {
        return workOnAcquiredShards == null
                ? 0
                : workOnAcquiredShards.upperBoundSum(now, countedWindow);
    }

    void onUnreachable(Duration now) {
        unreachableAt = now;
    }

    /** The endpoint list tells of a start then: what was unreachable before it is up again. */
    void onStartKnown(Duration startedAt) {
        if (unreachableAt != null && unreachableAt.compareTo(startedAt) < 0) {
            unreachableAt = null;
        }
    }

    /**
     * From when on the node may have been cold, where the list says it started then: the list tells
     * of a start late, and a node that we could not reach may have started since. Null: not known.
     */
    Duration coldSince(Duration startedAt) {
        boolean startedSince =
                unreachableAt == null
                        || (startedAt != null && startedAt.compareTo(unreachableAt) > 0);
        return startedSince ? startedAt : unreachableAt;
    }
}
