package postbeam.router;

import java.time.Duration;

/**
 * Limits how often the policy decides. Under load, a decision after each event would use the whole
 * core: decisions would be late and queries would pile up. So the policy pauses after a decision
 * for a multiple of the time that the decision took, and then decides on all events of the pause
 * together. Guarded by the lock of {@link PolicyExecutor}.
 */
final class DecisionPacer {
    /**
     * Length of the pause as a multiple of the decision's duration: at most a quarter of a core is
     * used for decisions.
     */
    private static final int PAUSE_FACTOR = 3;

    /**
     * Maximum pause between decisions, equal to two ticks of the simulator; a longer pause would
     * delay queries.
     */
    private static final Duration MAX_PAUSE = Duration.ofMillis(10);

    private final MonotonicClock clock;
    private final DiscoveryFreshness discoveryFreshness;
    private Duration nextDecisionAt = Duration.ZERO;
    private boolean wakeUpScheduled;
    private long decisionStartNanos;
    private long decisionCount;

    DecisionPacer(MonotonicClock clock, DiscoveryFreshness discoveryFreshness) {
        this.clock = clock;
        this.discoveryFreshness = discoveryFreshness;
    }

    /**
     * Returns whether the policy may decide now. Postpones the next decision if discovery has to be
     * polled first.
     */
    boolean mayDecide(Duration now) {
        if (isDue(now) && discoveryFreshness.mustWait(now)) {
            nextDecisionAt = now.plus(MAX_PAUSE);
        }
        return isDue(now);
    }

    private boolean isDue(Duration now) {
        return now.compareTo(nextDecisionAt) >= 0;
    }

    /** Returns true for the first call between two decisions: that caller schedules the wake-up. */
    boolean claimWakeUp() {
        boolean first = !wakeUpScheduled;
        wakeUpScheduled = true;
        return first;
    }

    Duration nextDecisionAt() {
        return nextDecisionAt;
    }

    void beginDecision() {
        wakeUpScheduled = false;
        decisionCount++;
        decisionStartNanos = System.nanoTime();
    }

    void endDecision() {
        long pause =
                Math.min(
                        MAX_PAUSE.toNanos(),
                        PAUSE_FACTOR * (System.nanoTime() - decisionStartNanos));
        nextDecisionAt = clock.now().plusNanos(pause);
    }

    /** Number of decisions so far. */
    long decisionCount() {
        return decisionCount;
    }
}
