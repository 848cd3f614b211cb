package postbeam.policy;

import java.time.Duration;
import postbeam.model.Attempt;
import postbeam.model.DataNode;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.ShardRequest;

/**
 * Cancels attempts at unresponsive data nodes for which no hedged attempt is possible, because
 * hedging is not allowed or because a query that needs only a subset has enough requests in flight.
 * A plain timeout would also cancel attempts that are queued at slow nodes, and would add load when
 * all nodes are slow.
 */
final class StragglerCanceller {
    private final AttemptLimits limits;
    private final StragglerDetector stragglers;
    private final RetryPolicy retries;
    private final RetryBudget budget;
    private final ReplicaSelector replicas;
    private final OutlierDetector outliers;
    private final AttemptCanceller canceller;

    StragglerCanceller(
            AttemptLimits limits,
            StragglerDetector stragglers,
            RetryPolicy retries,
            RetryBudget budget,
            ReplicaSelector replicas,
            OutlierDetector outliers,
            AttemptCanceller canceller) {
        this.limits = limits;
        this.stragglers = stragglers;
        this.retries = retries;
        this.budget = budget;
        this.replicas = replicas;
        this.outliers = outliers;
        this.canceller = canceller;
    }

    void cancelStragglers(Duration now, Query query) {
        if (limits.hedgingAllowed() && !hasSubsetInFlight(query)) {
            return;
        }
        for (ShardRequest request : query.shardRequests) {
            if (request.attemptsInFlight.isEmpty()
                    || request.isAnswered()
                    || !retries.mayAttemptLater(now, request)) {
                continue;
            }
            Attempt attempt = request.attemptsInFlight.get(0);
            if (stragglers.isUnresponsive(now, attempt)
                    && budget.allowsRetry(now)
                    && retries.mayCancelAndRetry(now, attempt.sentAt, query.queryClass())
                    && hasHealthyReplica(now, request, query.queryClass())) {
                canceller.cancelAttempts(request);
            }
        }
    }

    /**
     * Returns whether the query needs only a subset of its requests and has more in flight than it
     * needs.
     */
    private static boolean hasSubsetInFlight(Query query) {
        return query.queryClass().acceptsSubset()
                && query.requestsInFlight() > query.requestsNeeded();
    }

    private boolean hasHealthyReplica(Duration now, ShardRequest request, QueryClass queryClass) {
        DataNode other = replicas.chooseNode(now, request);
        return other != null && !outliers.isSuspect(now, other, queryClass);
    }
}
