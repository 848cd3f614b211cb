package postbeam.policy;

import static postbeam.model.Durations.scale;
import static postbeam.policy.PolicyTiming.FINAL_ANSWER_MARGIN;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import postbeam.model.Query;
import postbeam.model.QueryClass;

/**
 * Backdates retries of clients to their first request, from which the latency objective counts.
 * This avoids work for retries whose objective has already passed: a retry with less time than
 * first requests have is assumed to have the rest of its client's total timeout. The estimate is
 * wrong for clients that use shorter timeouts for retries for other reasons.
 */
final class ClientRetryEstimator {
    /**
     * Smoothing factor for a sample that is longer than the estimate; a shorter one replaces it.
     */
    private static final double SMOOTHING = 0.25;

    /** Estimated client timeout of first requests, per class. */
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
