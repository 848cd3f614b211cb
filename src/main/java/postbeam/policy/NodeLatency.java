package postbeam.policy;

import java.time.Duration;

/** How quickly, and when, one node lately answered this router. */
final class NodeLatency {
    /** Weight of a new sample: about the last four count. */
    private static final double SMOOTHING = 0.25;

    private double slowdown;
    private Duration lastAnsweredAt;
    private Duration latestAnsweredSendTime;

    /** Smoothed ratio of its latencies to the baseline of their class; 0 before the first. */
    double slowdown() {
        return slowdown;
    }

    void addSample(double sample) {
        slowdown = slowdown == 0 ? sample : slowdown + SMOOTHING * (sample - slowdown);
    }

    void forgetSlowdown() {
        slowdown = 0;
    }

    /** It has now answered an attempt sent then. */
    void recordAnswer(Duration now, Duration sentAt) {
        lastAnsweredAt = now;
        if (latestAnsweredSendTime == null || latestAnsweredSendTime.compareTo(sentAt) < 0) {
            latestAnsweredSendTime = sentAt;
        }
    }

    boolean hasAnsweredSince(Duration since) {
        return lastAnsweredAt != null && lastAnsweredAt.compareTo(since) >= 0;
    }

    /** Whether its last answer came after this. */
    boolean hasAnsweredAfter(Duration time) {
        return lastAnsweredAt != null && lastAnsweredAt.compareTo(time) > 0;
    }

    /** Whether it has answered an attempt that was sent later than this. */
    boolean hasAnsweredAttemptSentAfter(Duration sentAt) {
        return latestAnsweredSendTime != null && latestAnsweredSendTime.compareTo(sentAt) > 0;
    }
}
