package postbeam.pages;

import java.time.Duration;
import postbeam.model.SlidingWindowCounter;

/**
 * Limits the follow-up fetches in a window of the budget for extra attempts (rule 6 of the
 * protocol). A follow-up fetch requests rows that a page still lacks after the first answers. The
 * budget counts it as a query of its own, so follow-up fetches would raise the budget that they
 * use. To make up for this, {@link #reservedAttempts} is subtracted from the budget beforehand.
 *
 * <p>Thread-safe; no method blocks while it holds the lock.
 */
public final class FollowUpFetchBudget {
    /** Maximum share of the budget's free attempts that is reserved for follow-ups. */
    private static final double MAX_FREE_SHARE = 0.5;

    private static final int UNLIMITED = Integer.MAX_VALUE;
    private static final int WINDOW_BUCKETS = 20;
    private static final Duration WINDOW_WITHOUT_BUDGET = Duration.ofSeconds(1);

    private final int limit;
    private final double budgetShare;
    private final Duration window;
    private final SlidingWindowCounter started;

    /**
     * Derives the limit from the budget for extra attempts.
     *
     * @param freeAttempts extra attempts that the budget allows in a window regardless of the
     *     number of queries
     * @param budgetShare extra attempts that the budget allows for each query
     * @param window length of the budget's window; null if there is no budget
     */
    public FollowUpFetchBudget(double freeAttempts, double budgetShare, Duration window) {
        this.window = window;
        this.budgetShare = budgetShare;
        this.limit =
                window == null || budgetShare <= 0
                        ? UNLIMITED
                        : (int) (MAX_FREE_SHARE * freeAttempts / budgetShare);
        this.started =
                new SlidingWindowCounter(
                        window == null ? WINDOW_WITHOUT_BUDGET : window, WINDOW_BUCKETS);
    }

    /** Number of attempts to subtract from the budget's free attempts. */
    public double reservedAttempts() {
        return limit == UNLIMITED ? 0 : limit * budgetShare;
    }

    /**
     * Returns whether a follow-up query with this number of parts may start now, and counts it if
     * so.
     */
    public synchronized boolean tryAcquire(Duration now, int parts) {
        int cost = 1 + parts;
        if (window != null && started.upperBoundSum(now, window) + cost > limit) {
            return false;
        }
        started.add(now, cost);
        return true;
    }
}
