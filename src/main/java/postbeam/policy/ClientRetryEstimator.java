package postbeam.policy;

import static postbeam.model.Durations.scale;
import static postbeam.policy.PolicyTiming.FINAL_ANSWER_MARGIN;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import postbeam.model.Query;
import postbeam.model.QueryClass;

/**
 * Estimates when the first request of a client retry was sent, as the latency objective counts from
 * there. Without the estimate, data nodes would process retries whose latency objective has already
 * passed. A retry whose timeout is shorter than that of first requests is assumed to have the rest
 * of the client's total timeout. The estimate is wrong for clients that use a shorter timeout for
 * retries for any other reason.
 */
final class ClientRetryEstimator {
    /**
     * Smoothing factor for an observed client timeout that is longer than the estimate. A shorter
     * one replaces the estimate.
     */
    private static final double SMOOTHING = 0.25;

    /** Estimated client timeout of first requests for each query class. */
    private final Map<QueryClass, Duration> firstRequestTimeouts = new HashMap<>();

    void onQuery(Duration now, Query query) {
        QueryClass queryClass = query.queryClass();
        Duration timeout = query.deadline.minus(now);
        Duration estimate = firstRequestTimeouts.get(queryClass);
        if (!query.isClientRetry()) {
            firstRequestTimeouts.put(queryClass, updatedEstimate(estimate, timeout));
        } else if (queryClass.totalClientTimeout != null
                && estimate != null
                && timeout.plus(FINAL_ANSWER_MARGIN).compareTo(estimate) < 0) {
            query.setFirstRequestedAt(query.deadline.minus(queryClass.totalClientTimeout));
        }
    }

    private static Duration updatedEstimate(Duration estimate, Duration sample) {
        return estimate == null || sample.compareTo(estimate) < 0
                ? sample
                : estimate.plus(scale(sample.minus(estimate), SMOOTHING));
    }
}
