package postbeam.policy;

import static postbeam.model.Durations.min;

import java.time.Duration;
import postbeam.model.SlidingWindowCounter;

/** Recent outcomes of a node or of a zone, and its ejection. */
class HealthRecord {
    /** Window in which outcomes are counted. */
    private static final Duration OUTCOME_WINDOW = LatencyEstimator.RECENT_ANSWER_WINDOW;

    /** Duration of the first ejection; it backs off exponentially, doubling each time. */
    private static final Duration FIRST_EJECTION = Duration.ofMillis(500);

    /** Maximum duration of an ejection. */
    private static final Duration MAX_EJECTION = Duration.ofSeconds(4);

    /** Maximum exponent of the backoff; prevents overflow of the multiplier. */
    private static final int MAX_DOUBLINGS = 10;

    private final SlidingWindowCounter successes = new SlidingWindowCounter(OUTCOME_WINDOW);
    private final SlidingWindowCounter failures = new SlidingWindowCounter(OUTCOME_WINDOW);
    private Duration ejectedUntil;
    private int ejectionCount;

    void recordSuccess(Duration now) {
        successes.add(now, 1);
    }

    void recordFailure(Duration now) {
        failures.add(now, 1);
    }

    /** Whether both the number and the share of recent failures reach these minimums. */
    boolean isFailing(Duration now, int minFailures, double minShare) {
        double failed = failures.upperBoundSum(now, OUTCOME_WINDOW);
        return failed >= minFailures
                && failed >= minShare * (failed + successes.upperBoundSum(now, OUTCOME_WINDOW));
    }

    /** Starts an ejection unless one is in progress; returns whether it did. */
    boolean eject(Duration now) {
        if (ejectedUntil != null && now.compareTo(ejectedUntil) < 0) {
            return false;
        }
        long multiplier = 1L << Math.min(ejectionCount, MAX_DOUBLINGS);
        ejectedUntil = now.plus(min(MAX_EJECTION, FIRST_EJECTION.multipliedBy(multiplier)));
        ejectionCount++;
        return true;
    }

    /** Ends the ejection; its count is kept, so that the next one is longer. */
    void reinstate() {
        ejectedUntil = null;
    }

    /** Ends the ejection and resets the count. */
    void resetEjectionCount() {
        ejectedUntil = null;
        ejectionCount = 0;
    }

    /** Reduces the count by one. */
    void decrementEjectionCount() {
        ejectionCount = Math.max(0, ejectionCount - 1);
    }

    /** Whether it is ejected and not yet reinstated, even if the duration has passed. */
    boolean isEjected() {
        return ejectedUntil != null;
    }

    /** Whether it is ejected and the duration has not passed. */
    boolean isWithinEjection(Duration now) {
        return ejectedUntil != null && now.compareTo(ejectedUntil) < 0;
    }

    /** Whether the count is above zero. */
    boolean hasEjections() {
        return ejectionCount > 0;
    }
}
