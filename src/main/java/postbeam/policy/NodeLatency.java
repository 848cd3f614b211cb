package postbeam.policy;

import java.time.Duration;

/** Latencies and times of the recent answers of one data node. */
final class NodeLatency {
    /** Smoothing factor of the exponential moving average. */
    private static final double SMOOTHING = 0.25;

    private double slowdown;
    private Duration lastAnsweredAt;
    private Duration latestAnsweredAttemptSentAt;

    /**
     * Returns the smoothed ratio of the node's latencies to the baselines of their classes; 0
     * before the first answer.
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

    /** Records an answer, received now, to an attempt sent at {@code sentAt}. */
    void recordAnswer(Duration now, Duration sentAt) {
        lastAnsweredAt = now;
        if (latestAnsweredAttemptSentAt == null
                || latestAnsweredAttemptSentAt.compareTo(sentAt) < 0) {
            latestAnsweredAttemptSentAt = sentAt;
        }
    }

    boolean hasAnsweredAtOrAfter(Duration since) {
        return lastAnsweredAt != null && lastAnsweredAt.compareTo(since) >= 0;
    }

    /** Returns whether the last answer was received after this time. */
    boolean hasAnsweredAfter(Duration time) {
        return lastAnsweredAt != null && lastAnsweredAt.compareTo(time) > 0;
    }

    /** Returns whether an attempt that was sent after {@code sentAt} has been answered. */
    boolean hasAnsweredAttemptSentAfter(Duration sentAt) {
        return latestAnsweredAttemptSentAt != null
                && latestAnsweredAttemptSentAt.compareTo(sentAt) > 0;
    }
}
