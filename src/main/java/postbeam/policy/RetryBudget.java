package postbeam.policy;

import java.time.Duration;
import postbeam.model.SlidingWindowCounter;

/**
 * Budget of retries: attempts after the first one of each shard request. Retries are counted by an
 * upper bound and requests by a lower bound, so that the budget is kept in every window.
 */
public final class RetryBudget {
    /**
     * Arbitrary window of the counters if retries are not limited; the counters are not read then.
     */
    private static final Duration UNUSED_WINDOW = Duration.ofSeconds(4);

    private final double baseAllowance;
    private final double retryRatio;
    private final Duration window;
    private final SlidingWindowCounter requests;
    private final SlidingWindowCounter retries;

    /**
     * Creates a budget. A null parameter means that the limit is not configured.
     *
     * @param baseAllowance number of retries per window that are allowed independently of requests
     * @param retryRatio number of additional retries per request received
     * @param window sliding window over which both are counted; null if retries are not limited
     */
    public RetryBudget(Double baseAllowance, Double retryRatio, Duration window) {
        this.baseAllowance = baseAllowance == null ? 0 : baseAllowance;
        this.retryRatio = retryRatio == null ? 0 : retryRatio;
        this.window = window;
        this.requests = new SlidingWindowCounter(window == null ? UNUSED_WINDOW : window);
        this.retries = new SlidingWindowCounter(window == null ? UNUSED_WINDOW : window);
    }

    /** Records that a query or a shard request was received. */
    void recordRequest(Duration now) {
        requests.add(now, 1);
    }

    /** Records that a retry was sent. */
    void recordRetry(Duration now) {
        retries.add(now, 1);
    }

    boolean allowsRetry(Duration now) {
        return window == null
                || retries.upperBoundSum(now, window) + 1
                        <= baseAllowance + retryRatio * requests.lowerBoundSum(now, window);
    }
}
