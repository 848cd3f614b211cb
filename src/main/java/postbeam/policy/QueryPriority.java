package postbeam.policy;

import java.time.Duration;
import postbeam.model.DataNode;
import postbeam.model.Query;
import postbeam.model.ShardRequest;

/** Decides which queries are served last while slots of the concurrency window are scarce. */
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
     * Returns whether the query has low priority: it exceeds its tenant's quota, can't be on time
     * with the current size of the window, or has not started and too few of its requests have a
     * healthy replica. Low priority alone does not get a query rejected, as the window may widen.
     */
    boolean isLow(Duration now, Query query) {
        return query.isOverQuota()
                || forecast.isTooLateInWindow(now, query)
                || (query.hasNotStarted() && !isPlaceable(now, query));
    }

    /**
     * Returns whether enough of the query's requests have a healthy replica. Otherwise data nodes
     * would probably process the other requests in vain.
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
