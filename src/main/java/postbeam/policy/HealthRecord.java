package postbeam.policy;

import static postbeam.model.Durations.min;

import java.time.Duration;
import postbeam.model.SlidingWindowCounter;

/** Recent outcomes of attempts at a data node or a zone, and the state of its ejection. */
class HealthRecord {
    /** Sliding window over which outcomes are counted. */
    private static final Duration OUTCOME_WINDOW = LatencyEstimator.RECENT_ANSWER_WINDOW;

    /**
     * Duration of the first ejection. Each further ejection lasts twice as long as the one before,
     * up to the maximum.
     */
    private static final Duration FIRST_EJECTION = Duration.ofMillis(500);

    /** Maximum duration of an ejection. */
    private static final Duration MAX_EJECTION = Duration.ofSeconds(4);

    /**
     * Maximum number of times that the duration is doubled; prevents an overflow of the multiplier.
     */
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

    /**
     * Returns whether the recent failures reach both this number and this fraction of all recent
     * outcomes.
     */
    boolean isFailing(Duration now, int minFailures, double minShare) {
        double failed = failures.upperBoundSum(now, OUTCOME_WINDOW);
        return failed >= minFailures
                && failed >= minShare * (failed + successes.upperBoundSum(now, OUTCOME_WINDOW));
    }

    /** Starts an ejection and returns true, or returns false if one is in progress. */
    boolean eject(Duration now) {
        if (ejectedUntil != null && now.compareTo(ejectedUntil) < 0) {
            return false;
        }
        long multiplier = 1L << Math.min(ejectionCount, MAX_DOUBLINGS);
        ejectedUntil = now.plus(min(MAX_EJECTION, FIRST_EJECTION.multipliedBy(multiplier)));
        ejectionCount++;
        return true;
    }

    /** Ends the ejection but keeps the number of ejections, so that the next one lasts longer. */
    void reinstate() {
        ejectedUntil = null;
    }

    /**
     * Ends the ejection and resets the number of ejections, so that the next one is short again.
     */
    void resetEjectionCount() {
        ejectedUntil = null;
        ejectionCount = 0;
    }

    /** Reduces the number of ejections by one, which shortens the next one. */
    void decrementEjectionCount() {
        ejectionCount = Math.max(0, ejectionCount - 1);
    }

    /**
     * Returns whether an ejection has started and not been ended by a reinstatement, even if its
     * duration has passed.
     */
    boolean isEjected() {
        return ejectedUntil != null;
    }

    /** Returns whether an ejection is in progress whose duration has not passed. */
    boolean isWithinEjection(Duration now) {
        return ejectedUntil != null && now.compareTo(ejectedUntil) < 0;
    }

    /** Returns whether the number of ejections is above zero, so that recovery is not complete. */
    boolean hasEjections() {
        return ejectionCount > 0;
    }
}
