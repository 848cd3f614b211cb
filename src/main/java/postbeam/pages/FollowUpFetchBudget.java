package postbeam.pages;

import java.time.Duration;
import postbeam.model.SlidingWindowCounter;

/**
 * Limits follow-up fetches in a window of the budget for extra attempts (rule 6 of the protocol). A
 * follow-up counts as a query of its own there and would raise the budget that it uses; so as much
 * is taken off the budget beforehand.
 *
 * <p>Thread-safe: it has a lock of its own, under which nothing waits.
 */
public final class FollowUpFetchBudget {
    /** At most this share of the budget's free part is set aside. */
    private static final double MAX_FREE_SHARE = 0.5;

    private static final int UNLIMITED = Integer.MAX_VALUE;
    private static final int WINDOW_BUCKETS = 20;
    private static final Duration WINDOW_WITHOUT_BUDGET = Duration.ofSeconds(1);

    private final int limit;
    private final double budgetShare;
    private final Duration window;
    private final SlidingWindowCounter started;

    /**
     * Works out the limit from the budget for extra attempts.
     *
     * @param freeAttempts that the budget allows in a window whatever the number of queries
     * @param budgetShare extra attempts that it allows for each query
     * @param window null where there is no budget
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

    /** What is to be taken off the budget's free attempts. */
    public double reservedAttempts() {
        return limit == UNLIMITED ? 0 : limit * budgetShare;
    }

    /** Whether a follow-up query with so many parts may start now; it is counted then. */
    public synchronized boolean tryAcquire(Duration now, int parts) {
        int cost = 1 + parts;
        if (window != null && started.upperBoundSum(now, window) + cost > limit) {
            return false;
        }
        started.add(now, cost);
        return true;
    }
}
