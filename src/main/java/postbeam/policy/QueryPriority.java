package postbeam.policy;

import java.time.Duration;
import postbeam.model.DataNode;
import postbeam.model.Query;
import postbeam.model.ShardRequest;

/** Which queries come last where others wait. */
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
     * Whether the query is beyond its tenant's quota, would be too late in the window as it is, or
     * has not started and can't be placed. The window grows in use, so it is not given up for that.
     */
    boolean isLow(Duration now, Query query) {
        return query.isOverQuota()
                || forecast.isTooLateInWindow(now, query)
                || (query.hasNotStarted() && !isPlaceable(now, query));
    }

    /**
     * Guards against work for queries that a shard without a sound node, or with cold ones alone,
     * will spoil: where others wait, they come last. Alone, they are tried all the same.
     */
    private boolean isPlaceable(Duration now, Query query) {
        replicas.chooseOffset(now, query);
        return query.requestsNeeded()
                <= query.countRequests(request -> hasSoundReplica(now, query, request));
    }

    private boolean hasSoundReplica(Duration now, Query query, ShardRequest request) {
        DataNode node = replicas.chooseNode(now, request);
        return node != null && !outliers.isSuspect(now, node, query.queryClass());
    }
}
