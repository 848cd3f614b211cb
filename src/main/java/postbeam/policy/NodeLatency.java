package postbeam.policy;

import java.time.Duration;

/** Recent answers of one data node. */
final class NodeLatency {
    /** Smoothing factor of the exponential moving average. */
    private static final double SMOOTHING = 0.25;

    private double slowdown;
    private Duration lastAnsweredAt;
    private Duration latestAnsweredAttemptSentAt;

    /**
     * Smoothed ratio of the node's latencies to the baseline of their class; 0 before the first.
     */
    double slowdown() {
        return slowdown;
    }

    void addSample(double sample) {
        slowdown = slowdown == 0 ? sample : slowdown + SMOOTHING * (sample - slowdown);
    }

    void resetSlowdown() {
        slowdown = 0;
    }

    /** Records an answer to an attempt. */
    void recordAnswer(Duration now, Duration sentAt) {
        lastAnsweredAt = now;
        if (latestAnsweredAttemptSentAt == null || latestAnsweredAttemptSentAt.compareTo(sentAt) < 0) {
            latestAnsweredAttemptSentAt = sentAt;
        }
    }

    boolean hasAnsweredAtOrAfter(Duration since) {
        return lastAnsweredAt != null && lastAnsweredAt.compareTo(since) >= 0;
    }

    /** Whether the last answer came after this time. */
    boolean hasAnsweredAfter(Duration time) {
        return lastAnsweredAt != null && lastAnsweredAt.compareTo(time) > 0;
    }

    /** Whether an attempt that was sent after this time is answered. */
    boolean hasAnsweredAttemptSentAfter(Duration sentAt) {
        return latestAnsweredAttemptSentAt != null && latestAnsweredAttemptSentAt.compareTo(sentAt) > 0;
    }
}
