package postbeam.policy;

import java.time.Duration;
import postbeam.model.SlidingWindowCounter;

/**
 * The budget of attempts beyond each shard request's first, where the deployment states one.
 * Retries are counted high and requests low, so that the budget is kept however the windows fall.
 */
public final class RetryBudget {
    /** What counters cover where no budget is stated, and none is read. */
    private static final Duration UNUSED_WINDOW = Duration.ofSeconds(4);

    private final double baseAllowance;
    private final double retryRatio;
    private final Duration window;
    private final SlidingWindowCounter requests;
    private final SlidingWindowCounter retries;

    /**
     * Creates a budget; each parameter is null where not stated.
     *
     * @param baseAllowance retries within the window that need no requests
     * @param retryRatio further retries for each request received
     * @param window the span over which both are counted; null for no limit
     */
    public RetryBudget(Double baseAllowance, Double retryRatio, Duration window) {
        this.baseAllowance = baseAllowance == null ? 0 : baseAllowance;
        this.retryRatio = retryRatio == null ? 0 : retryRatio;
        this.window = window;
        this.requests = new SlidingWindowCounter(window == null ? UNUSED_WINDOW : window);
        this.retries = new SlidingWindowCounter(window == null ? UNUSED_WINDOW : window);
    }

    /** A query or shard request was received. */
    void recordRequest(Duration now) {
        requests.add(now, 1);
    }

    /** An attempt beyond a request's first was sent. */
    void recordRetry(Duration now) {
        retries.add(now, 1);
    }

    boolean allowsRetry(Duration now) {
        return window == null
                || retries.upperBoundSum(now, window) + 1
                        <= baseAllowance + retryRatio * requests.lowerBoundSum(now, window);
    }
}
