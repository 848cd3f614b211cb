package postbeam.policy;

import java.time.Duration;
import java.util.Random;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.model.Cluster;
import postbeam.model.DataNode;
import postbeam.model.Query;
import postbeam.model.Readiness;
import postbeam.model.ShardRequest;

/**
 * Makes the routing decisions of one query router. The caller reports each event in order and calls
 * {@link #onBatchEnd} after all events that arrived together; the policy responds by calling {@link
 * PolicyActions}. All times are durations since the start of the router. Not thread-safe: callers
 * serialize access.
 */
public final class RoutingPolicy {
    private final PolicyActions actions;
    private final PolicyModules modules;
    private boolean wakeUpScheduled;

    /** Creates the policy of a router that has no data nodes and no queries yet. */
    public RoutingPolicy(
            PolicyActions actions,
            Random random,
            Cluster cluster,
            AdmissionControl admission,
            AttemptLimits limits,
            RetryBudget retryBudget,
            SlowStart slowStart) {
        this.actions = actions;
        this.modules =
                new PolicyModules(
                        actions, random, cluster, admission, limits, retryBudget, slowStart);
    }

    /**
     * Called when the endpoint list reports the state of a node. {@code startedAt} is null if the
     * list gives no start time, because the node started long ago or its start is not known.
     */
    public void onNodeUpdate(Duration now, DataNode node, Readiness readiness, Duration startedAt) {
        modules.membership.onNodeUpdate(now, node, readiness, startedAt);
    }

    /** Called when a query has arrived. Its shard requests may arrive at the same time or later. */
    public void onQuery(Duration now, Query query) {
        modules.completion.onQuery(query);
        modules.retryBudget.recordRequest(now);
        modules.clientRetries.onQuery(now, query);
        if (modules.admission.recordAndCheckQuota(now, query.tenant)) {
            query.markOverQuota();
        }
    }

    /** Called when a shard request has arrived and been added to its query. */
    public void onShardRequest(Duration now, ShardRequest request) {
        modules.retryBudget.recordRequest(now);
    }

    /**
     * Called exactly once for each attempt, when it has ended.
     *
     * @param latency time since the attempt was sent
     * @param isLast whether the shard request must not have further attempts
     */
    public void onAttemptEnded(
            Duration now,
            Attempt attempt,
            AttemptOutcome outcome,
            Duration latency,
            boolean isLast) {
        attempt.end();
        modules.window.onAttemptEnded();
        ShardRequest request = attempt.shardRequest;
        Query query = request.query;
        if (!outcome.provesNotExecuted) {
            request.recordPossibleExecution(attempt.sentAt);
        }
        if (outcome == AttemptOutcome.OVERLOADED && !modules.ejection.isEjected(attempt.node)) {
            modules.window.onOverloaded(now, attempt.sentAt);
        }
        modules.latencies.onAttemptEnded(now, attempt, outcome, latency);
        modules.outliers.onAttemptEnded(now, attempt, outcome, latency);
        if (outcome == AttemptOutcome.UNREACHABLE) {
            modules.slowStart.onUnreachable(now, attempt.node);
        }
        modules.canaries.onAttemptEnded(attempt, outcome);
        if (outcome == AttemptOutcome.SUCCESS && !query.hasEnded() && !request.isAnswered()) {
            request.markAnswered();
            modules.window.onAnswer(now, query.queryClass(), latency);
            modules.canceller.cancelAttempts(request);
        } else if (outcome == AttemptOutcome.NEVER_SENT || isLast) {
            request.close();
        }
    }

    /** Called when the client of a query has disconnected; the query is ended without an answer. */
    public void onClientDisconnected(Duration now, Query query) {
        modules.completion.end(query);
    }

    /** Called when the time requested with {@link PolicyActions#wakeAfter} has passed. */
    public void onWakeUp(Duration now) {
        wakeUpScheduled = false;
    }

    /** Called when a health probe of a node has succeeded or failed. */
    public void onProbeResult(Duration now, DataNode node, boolean healthy) {
        modules.ejection.onProbeResult(now, node, healthy);
    }

    /**
     * Called when all events that arrived together have been reported. Makes the decisions and
     * takes the actions that follow from them.
     */
    public void onBatchEnd(Duration now) {
        modules.completion.review(now);
        modules.ejection.review(now);
        modules.completion
                .openQueries()
                .forEach(query -> modules.stragglerCanceller.cancelStragglers(now, query));
        modules.scheduler.fillSlots(now, modules.completion.openQueries());
        if (!modules.completion.openQueries().isEmpty() && !wakeUpScheduled) {
            wakeUpScheduled = true;
            actions.wakeAfter(PolicyTiming.REVIEW_INTERVAL);
        }
    }

    /** Returns whether the node is ejected because of recent failures. */
    public boolean isEjected(DataNode node) {
        return modules.ejection.isEjected(node);
    }

    /** Gives the tests of this package access to the modules. */
    PolicyModules modules() {
        return modules;
    }
}
