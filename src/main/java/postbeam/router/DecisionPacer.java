package postbeam.router;

import java.time.Duration;

/**
 * When the policy decides next. Under load, deciding on each event by itself would take the whole
 * core, so that decisions come late and queries pile up: events that arrive within a few times the
 * time that the last decision took are decided on together. Guarded by the lock of {@link
 * PolicyExecutor}.
 */
final class DecisionPacer {
    /**
     * Pause after a decision as a multiple of its duration: at most a quarter of a core is used.
     */
    private static final int PAUSE_FACTOR = 3;

    /** Two ticks of the simulator: a longer pause would delay queries. */
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

    /** Whether the policy may decide now. */
    boolean mayDecide(Duration now) {
        if (isDue(now) && discoveryFreshness.mustWait(now)) {
            nextDecisionAt = now.plus(MAX_PAUSE);
        }
        return isDue(now);
    }

    private boolean isDue(Duration now) {
        return now.compareTo(nextDecisionAt) >= 0;
    }

    /** True the first time that it is called between two decisions. */
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

    /** Decisions so far. */
    long decisionCount() {
        return decisionCount;
    }
}
