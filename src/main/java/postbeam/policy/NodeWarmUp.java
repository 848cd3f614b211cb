package postbeam.policy;

import static postbeam.model.Durations.seconds;

import java.time.Duration;
import postbeam.model.SlidingWindowCounter;

/** Work recently sent to one data node, in seconds, and since when the node may be warming up. */
final class NodeWarmUp {
    /**
     * Random number from 0 to 1, drawn once: decides at which routers a share of less than one
     * request is rounded up.
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

    /** Upper bound of the work sent within the counted window, in seconds. */
    double recentWorkSeconds(Duration now) {
        return work.upperBoundSum(now, countedWindow);
    }

    /** Like {@link #recentWorkSeconds}, for shards that the node recently acquired. */
    double recentWorkSecondsOnAcquiredShards(Duration now) {
        return workOnAcquiredShards == null
                ? 0
                : workOnAcquiredShards.upperBoundSum(now, countedWindow);
    }

    void onUnreachable(Duration now) {
        unreachableAt = now;
    }

    /**
     * The endpoint list reports a start at this time: an earlier connection failure is obsolete.
     */
    void onStartKnown(Duration startedAt) {
        if (unreachableAt != null && unreachableAt.compareTo(startedAt) < 0) {
            unreachableAt = null;
        }
    }

    /**
     * Since when the node may be warming up, given the start in the endpoint list. The list may
     * report a start late, so a node may have restarted when it was last unreachable. Null if not
     * known.
     */
    Duration warmingUpSince(Duration startedAt) {
        boolean startedSince =
                unreachableAt == null
                        || (startedAt != null && startedAt.compareTo(unreachableAt) > 0);
        return startedSince ? startedAt : unreachableAt;
    }
}
