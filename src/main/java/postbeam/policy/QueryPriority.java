package postbeam.policy;

import java.time.Duration;
import postbeam.model.DataNode;
import postbeam.model.Query;
import postbeam.model.ShardRequest;

/** Decides which queries are served last when slots are scarce. */
final class QueryPriority {
    private final CompletionForecast forecast;
    private final ReplicaSelector replicas;
    private final OutlierDetector outliers;

    QueryPriority(CompletionForecast forecast, ReplicaSelector replicas, OutlierDetector outliers) {
        this.forecast = forecast;
        this.replicas = replicas;
        this.outliers = outliers;
    }

    /**
     * Whether the query exceeds its tenant's quota, can't be on time with the current window, or
     * has not started and can't be placed on healthy nodes. Such queries are not rejected for that
     * alone, as the window may grow.
     */
    boolean isLow(Duration now, Query query) {
        return query.isOverQuota()
                || forecast.isTooLateInWindow(now, query)
                || (query.hasNotStarted() && !isPlaceable(now, query));
    }

    /**
     * Whether enough of the query's requests have a healthy replica: otherwise the work for the
     * others is likely wasted.
     */
    private boolean isPlaceable(Duration now, Query query) {
        replicas.chooseOffset(now, query);
        return query.requestsNeeded()
                <= query.countRequests(request -> hasHealthyReplica(now, query, request));
    }

    private boolean hasHealthyReplica(Duration now, Query query, ShardRequest request) {
        DataNode node = replicas.chooseNode(now, request);
        return node != null && !outliers.isSuspect(now, node, query.queryClass());
    }
}
