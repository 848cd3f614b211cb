package postbeam.policy;

import java.time.Duration;
import postbeam.model.SlidingWindowCounter;

/**
 * Budget of retries: attempts beyond the first one of each shard request. Retries are counted as an
 * upper bound and requests as a lower one, so that the budget holds for every window.
 */
public final class RetryBudget {
    /** Window of the counters if there is no budget; they are not read then. */
    private static final Duration UNUSED_WINDOW = Duration.ofSeconds(4);

    private final double baseAllowance;
    private final double retryRatio;
    private final Duration window;
    private final SlidingWindowCounter requests;
    private final SlidingWindowCounter retries;

    /**
     * Creates a budget; a null parameter is not configured.
     *
     * @param baseAllowance retries per window independent of requests
     * @param retryRatio additional retries per request received
     * @param window the window in which both are counted; null for no limit
     */
    public RetryBudget(Double baseAllowance, Double retryRatio, Duration window) {
        this.baseAllowance = baseAllowance == null ? 0 : baseAllowance;
        this.retryRatio = retryRatio == null ? 0 : retryRatio;
        this.window = window;
        this.requests = new SlidingWindowCounter(window == null ? UNUSED_WINDOW : window);
        this.retries = new SlidingWindowCounter(window == null ? UNUSED_WINDOW : window);
    }

    /** A query or a shard request was received. */
    void recordRequest(Duration now) {
        requests.add(now, 1);
    }

    /** A retry was sent. */
    void recordRetry(Duration now) {
        retries.add(now, 1);
    }

    boolean allowsRetry(Duration now) {
        return window == null
                || retries.upperBoundSum(now, window) + 1
                        <= baseAllowance + retryRatio * requests.lowerBoundSum(now, window);
    }
}
