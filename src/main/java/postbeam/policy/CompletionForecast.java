package postbeam.policy;

import static postbeam.model.Durations.min;

import java.time.Duration;
import postbeam.model.Query;
import postbeam.model.QueryClass;

/** Predicts from the typical latency when a query can be complete. */
final class CompletionForecast {
    /**
     * Multiple of the typical latency that is normal for the slowest request of a query with many
     * requests.
     */
    static final double SLOWEST_REQUEST_FACTOR = 2.5;

    private final LatencyEstimator latencies;
    private final ConcurrencyWindow window;

    CompletionForecast(LatencyEstimator latencies, ConcurrencyWindow window) {
        this.latencies = latencies;
        this.window = window;
    }

    /**
     * Returns whether the latency objective has passed, or will have passed by the time the unsent
     * requests of the query have taken {@code latencyFactor} times the typical latency.
     */
    boolean isTooLate(Duration now, Query query, double latencyFactor) {
        QueryClass queryClass = query.queryClass();
        Duration expectedCompletion =
                query.requestsNeeded() > query.requestsInFlight()
                        ? now.plus(latencies.typicalLatency(now, queryClass, latencyFactor))
                        : now;
        if (queryClass.secondStep != null) {
            expectedCompletion =
                    expectedCompletion.plus(
                            latencies.typicalLatency(now, queryClass.secondStep, 1));
        }
        return expectedCompletion.compareTo(query.sloDeadline()) >= 0;
    }

    /**
     * Like {@link #isTooLate}, for the number of rounds that the missing requests need with the
     * current size of the concurrency window.
     */
    boolean isTooLateInWindow(Duration now, Query query) {
        return isTooLate(now, query, 1 + query.requestsNeeded() / window.size());
    }

    /**
     * Returns whether the query would miss its latency objective or its client's deadline at the
     * typical latency; starting such a query would only waste capacity. Always returns false while
     * no attempt is in flight, as the latency estimates may be out of date then.
     */
    boolean cannotFinishInTime(Duration now, Query query) {
        QueryClass queryClass = query.queryClass();
        double factor = expectedLatencyFactor(query);
        Duration clientLimit = query.deadline.minus(PolicyTiming.FINAL_ANSWER_MARGIN);
        Duration remaining = min(query.sloDeadline(), clientLimit).minus(now);
        if (queryClass.secondStep != null) {
            remaining =
                    remaining.minus(latencies.typicalLatency(now, queryClass.secondStep, factor));
        }
        return window.inFlight() > 0
                && latencies.hasMeasuredBaseline(queryClass)
                && remaining.compareTo(latencies.typicalLatency(now, queryClass, factor)) < 0;
    }

    /**
     * Returns the multiple of the typical latency that the query is expected to take: the larger of
     * the factor for its slowest request and the number of rounds through the concurrency window.
     */
    private double expectedLatencyFactor(Query query) {
        int requests = query.shardRequests.size();
        if (query.queryClass().acceptsSubset() || requests == 1) {
            return 1;
        }
        return Math.max(
                SLOWEST_REQUEST_FACTOR,
                query.queryClass().minimumWeight * requests / window.size());
    }
}
