package postbeam.policy;

import static postbeam.model.Durations.min;

import java.time.Duration;
import postbeam.model.SlidingWindowCounter;

/** Outcomes of a node or of a whole zone lately, and for how long it is ejected. */
class HealthRecord {
    /** How long outcomes are remembered. */
    private static final Duration MEMORY = LatencyEstimator.MEMORY;

    /** First and longest ejection; each further one is twice as long. */
    private static final Duration FIRST_EJECTION = Duration.ofMillis(500);

    private static final Duration LONGEST_EJECTION = Duration.ofSeconds(4);

    /** Keeps the doubling within a long. */
    private static final int MAX_DOUBLINGS = 10;

    private final SlidingWindowCounter successes = new SlidingWindowCounter(MEMORY);
    private final SlidingWindowCounter failures = new SlidingWindowCounter(MEMORY);
    private Duration ejectedUntil;
    private int ejectionCount;

    void recordSuccess(Duration now) {
        successes.add(now, 1);
    }

    void recordFailure(Duration now) {
        failures.add(now, 1);
    }

    /** Whether at least so many outcomes, and such a share of them, were failures lately. */
    boolean isFailing(Duration now, int minFailures, double minShare) {
        double failed = failures.upperBoundSum(now, MEMORY);
        return failed >= minFailures
                && failed >= minShare * (failed + successes.upperBoundSum(now, MEMORY));
    }

    /** Ejects it, unless it is ejected for longer than now; true where that was done. */
    boolean eject(Duration now) {
        if (ejectedUntil != null && now.compareTo(ejectedUntil) < 0) {
            return false;
        }
        long times = 1L << Math.min(ejectionCount, MAX_DOUBLINGS);
        ejectedUntil = now.plus(min(LONGEST_EJECTION, FIRST_EJECTION.multipliedBy(times)));
        ejectionCount++;
        return true;
    }

    /** Ends its ejection; the next one is still a longer one. */
    void reinstate() {
        ejectedUntil = null;
    }

    /** Ends its ejection and forgets all earlier ones. */
    void forgetEjections() {
        ejectedUntil = null;
        ejectionCount = 0;
    }

    /** Forgets one earlier ejection. */
    void forgetOneEjection() {
        ejectionCount = Math.max(0, ejectionCount - 1);
    }

    /** Whether it is ejected, be its time over or not. */
    boolean isEjected() {
        return ejectedUntil != null;
    }

    /** Whether it is ejected and the time of that is not over. */
    boolean isWithinEjection(Duration now) {
        return ejectedUntil != null && now.compareTo(ejectedUntil) < 0;
    }

    /** Whether earlier ejections are remembered. */
    boolean hasEjections() {
        return ejectionCount > 0;
    }
}
