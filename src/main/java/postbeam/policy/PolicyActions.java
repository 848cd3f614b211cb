package postbeam.policy;

import java.time.Duration;
import postbeam.model.Attempt;
import postbeam.model.DataNode;
import postbeam.model.Query;

/**
 * Actions that a routing policy takes. Each protocol implements this interface, with one instance
 * per policy, and carries out the calls immediately and in order.
 */
public interface PolicyActions {
    /**
     * Sends an attempt. Attempts that are sent to the same node within one call of {@link
     * RoutingPolicy#onBatchEnd} may share a call to the node.
     */
    void send(Attempt attempt);

    /** Cancels an attempt. Its outcome is still reported to the policy. */
    void cancel(Attempt attempt);

    /**
     * Answers the query from its answered requests. {@code complete} tells whether they suffice for
     * a complete answer.
     */
    void answer(Query query, boolean complete);

    /**
     * Ends the query with a rejection, after which the client may retry without executing side
     * effects twice. If {@code retryAfter} is above zero, the client should wait that long.
     */
    void reject(Query query, Duration retryAfter);

    /** Ends the query with an error that does not tell whether side effects were executed. */
    void abort(Query query);

    /** Schedules a call of {@link RoutingPolicy#onWakeUp} after this time. */
    void wakeAfter(Duration wait);

    /**
     * Probes the health of a node. The result is reported to {@link RoutingPolicy#onProbeResult}.
     */
    void probe(DataNode node);

    /** Writes a line to the log. */
    void log(String text);
}
