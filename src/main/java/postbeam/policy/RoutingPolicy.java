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
 * All decisions of one query router. Its caller makes one call for each thing that happens, in
 * order, and {@link #onBatchEnd} once all that came together is told; the policy acts by calling
 * {@link PolicyActions}. Times are spans since the start. Not safe for use by several threads at
 * once: the caller owns the lock.
 */
public final class RoutingPolicy {
    private final PolicyActions actions;
    private final PolicyModules modules;
    private boolean wakeUpScheduled;

    /** Creates the policy of a router that knows no nodes and has no queries yet. */
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
     * The endpoint list says this of a node; when it started is null where not known, or long ago.
     */
    public void onNodeUpdate(Duration now, DataNode node, Readiness readiness, Duration startedAt) {
        modules.membership.onNodeUpdate(now, node, readiness, startedAt);
    }

    /** A query has arrived; its shard requests may come with it or later. */
    public void onQuery(Duration now, Query query) {
        modules.completion.onQuery(query);
        modules.retryBudget.recordRequest(now);
        modules.clientRetries.onQuery(now, query);
        if (modules.admission.countsAsOverQuota(now, query.tenant)) {
            query.markOverQuota();
        }
    }

    /** A shard request of a query has arrived; it has been added to its query. */
    public void onShardRequest(Duration now, ShardRequest request) {
        modules.retryBudget.recordRequest(now);
    }

    /**
     * An attempt has ended. Called once for each attempt sent.
     *
     * @param latency time since it was sent
     * @param isLast whether its request can get no further attempt
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

    /** The client of a query has left: nothing is to be answered. */
    public void onClientDisconnected(Duration now, Query query) {
        modules.completion.end(query);
    }

    /** The time of {@link PolicyActions#wakeAfter} is over. */
    public void onWakeUp(Duration now) {
        wakeUpScheduled = false;
    }

    /** The health probe of a node was answered, or was not. */
    public void onProbeResult(Duration now, DataNode node, boolean answered) {
        modules.ejection.onProbeResult(now, node, answered);
    }

    /** All that came in together has been told: decides what follows from it. */
    public void onBatchEnd(Duration now) {
        modules.completion.review(now);
        modules.ejection.review(now);
        modules.completion
                .open()
                .forEach(query -> modules.stragglerCanceller.cancelStragglers(now, query));
        modules.scheduler.fillSlots(now, modules.completion.open());
        if (!modules.completion.open().isEmpty() && !wakeUpScheduled) {
            wakeUpScheduled = true;
            actions.wakeAfter(PolicyTiming.REVIEW_INTERVAL);
        }
    }

    /** Whether the node is ejected, as it lately failed. */
    public boolean isEjected(DataNode node) {
        return modules.ejection.isEjected(node);
    }

    /** For tests of this package. */
    PolicyModules modules() {
        return modules;
    }
}
