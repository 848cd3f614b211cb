package postbeam.pages;

import java.time.Duration;
import postbeam.model.SlidingWindowCounter;

/**
 * How many queries that ask again, and parts of them, may begin in a window of rule 6. They count
 * as taken where the rule is held, and would widen the budget that they eat from: so many are taken
 * off it beforehand. Its own lock.
 */
public final class FollowUpFetchBudget {
    /** Of the free part of rule 6's budget, what is set aside for that at the most. */
    private static final double MAX_FREE_SHARE = 0.5;

    /** Buckets of the window: what shares one with its start counts as within it. */
    private static final int BUCKETS = 20;

    private final int limit;
    private final double share;
    private final Duration window;
    private final SlidingWindowCounter started;

    /**
     * By the budget: so many free and such a share in such a window; a window of null states none.
     */
    public FollowUpFetchBudget(double free, double share, Duration span) {
        this.window = span;
        this.share = share;
        this.limit =
                span == null || share <= 0
                        ? Integer.MAX_VALUE
                        : (int) (MAX_FREE_SHARE * free / share);
        this.started =
                new SlidingWindowCounter(span == null ? Duration.ofSeconds(1) : span, BUCKETS);
    }

    /** What is to be taken off the free part of the budget. */
    public double reservedAttempts() {
        return limit == Integer.MAX_VALUE ? 0 : limit * share;
    }

    /** Whether a query with so many parts that ask again may begin now; it is counted then. */
    public synchronized boolean tryAcquire(Duration now, int parts) {
        if (window != null && started.upperBoundSum(now, window) + 1 + parts > limit) {
            return false;
        }
        started.add(now, 1 + parts);
        return true;
    }
}
