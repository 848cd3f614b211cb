package postbeam.policy;

import static postbeam.model.Durations.seconds;

import java.time.Duration;
import postbeam.model.SlidingWindowCounter;

/**
 * Work (estimated processing time) recently sent to one data node, in seconds, and the time since
 * which the node may be warming up.
 */
final class NodeWarmUp {
    /**
     * Random number from 0 to 1, drawn once per router and node. A router whose remaining share of
     * the slow start budget covers at least this fraction of a request may send the whole request.
     */
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

    void recordWork(Duration now, Duration sentWork) {
        work.add(now, seconds(sentWork));
    }

    void recordWorkOnAcquiredShard(Duration now, Duration sentWork) {
        if (workOnAcquiredShards == null) {
            workOnAcquiredShards = new SlidingWindowCounter(countedWindow);
        }
        workOnAcquiredShards.add(now, seconds(sentWork));
    }

    /** Returns an upper bound of the work sent within the counted window, in seconds. */
    double recentWorkSeconds(Duration now) {
        return work.upperBoundSum(now, countedWindow);
    }

    /**
     * Like {@link #recentWorkSeconds}, counting only work on shards that the node has recently
     * acquired.
     */
    double recentWorkSecondsOnAcquiredShards(Duration now) {
        return workOnAcquiredShards == null
                ? 0
                : workOnAcquiredShards.upperBoundSum(now, countedWindow);
    }

    void onUnreachable(Duration now) {
        unreachableAt = now;
    }

    /**
     * Called when the endpoint list reports that the node started at this time; an earlier
     * connection failure no longer counts.
     */
    void onStartKnown(Duration startedAt) {
        if (unreachableAt != null && unreachableAt.compareTo(startedAt) < 0) {
            unreachableAt = null;
        }
    }

    /**
     * Returns the time since which the node may be warming up, or null if it is not known. {@code
     * startedAt} is the start time in the endpoint list, which may report a restart late; a node
     * that was unreachable after that time may have restarted then.
     */
    Duration warmingUpSince(Duration startedAt) {
        boolean startedSince =
                unreachableAt == null
                        || (startedAt != null && startedAt.compareTo(unreachableAt) > 0);
        return startedSince ? startedAt : unreachableAt;
    }
}
