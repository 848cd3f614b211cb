package postbeam.router;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.Condition;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.dispatch.QueryAction;
import postbeam.model.DataNode;

/**
 * Holds the actions that the policy has decided on and that no thread has carried out yet. Attempts
 * that one decision sends to the same node are grouped into batches. An action belongs to the
 * thread of its query or, if the query has ended, to the background thread. Guarded by the lock of
 * {@link PolicyExecutor}.
 */
final class ActionOutbox {
    private final QueryTable queries;
    private final NodeDirectory nodes;
    private final Condition backgroundWork;
    private final int maxBatchSize;
    private final List<QueryAction> backgroundActions = new ArrayList<>();
    private final Map<DataNode, List<DispatchedAttempt>> unsentByNode = new LinkedHashMap<>();

    /**
     * Creates an empty outbox.
     *
     * @param backgroundWork signalled when an action for the background thread is added
     * @param maxBatchSize maximum number of attempts in one batch
     */
    ActionOutbox(
            QueryTable queries, NodeDirectory nodes, Condition backgroundWork, int maxBatchSize) {
        this.queries = queries;
        this.nodes = nodes;
        this.backgroundWork = backgroundWork;
        this.maxBatchSize = maxBatchSize;
    }

    /**
     * Queues the action for the thread of the query, or for the background thread if {@code query}
     * is null, which means that the query has ended.
     */
    void deliver(InFlightQuery query, QueryAction action) {
        if (query == null) {
            deliverInBackground(action);
        } else {
            query.addAction(action);
        }
    }

    void deliverInBackground(QueryAction action) {
        backgroundActions.add(action);
        backgroundWork.signal();
    }

    void addAttempt(DispatchedAttempt attempt) {
        unsentByNode
                .computeIfAbsent(attempt.policyAttempt.node, node -> new ArrayList<>())
                .add(attempt);
    }

    /** Queues the attempts that were added, grouped by node into batches. */
    void flush() {
        unsentByNode.forEach(this::deliverBatches);
        unsentByNode.clear();
    }

    private void deliverBatches(DataNode node, List<DispatchedAttempt> attempts) {
        for (int from = 0; from < attempts.size(); from += maxBatchSize) {
            int to = Math.min(attempts.size(), from + maxBatchSize);
            List<DispatchedAttempt> batch = List.copyOf(attempts.subList(from, to));
            deliver(
                    queries.get(batch.get(0).policyAttempt.shardRequest.query),
                    new QueryAction.Send(nodes.address(node), batch));
        }
    }

    /** Removes and returns the actions for the background thread. */
    List<QueryAction> removeBackgroundActions() {
        List<QueryAction> removed = List.copyOf(backgroundActions);
        backgroundActions.clear();
        return removed;
    }
}
