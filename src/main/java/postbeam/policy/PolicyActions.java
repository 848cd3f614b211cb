package postbeam.policy;

import java.time.Duration;
import postbeam.model.Attempt;
import postbeam.model.DataNode;
import postbeam.model.Query;

/**
 * What the routing policy can have done. Each protocol implements it, one instance for each running
 * policy, and carries out every call at once and in order.
 */
public interface PolicyActions {
    /** Sends an attempt; those sent to one node in one batch of events travel together. */
    void send(Attempt attempt);

    /** Stops waiting for an attempt; its outcome is still reported. */
    void cancel(Attempt attempt);

    /** Answers the query from its answered requests; complete, or from what there is. */
    void answer(Query query, boolean complete);

    /** Ends the query and tells its client that a retry is harmless, after a wait above zero. */
    void reject(Query query, Duration retryAfter);

    /** Ends the query without a promise about its side effects. */
    void abort(Query query);

    /** Asks for {@link RoutingPolicy#onWakeUp} after this time. */
    void wakeAfter(Duration wait);

    /** Probes a node's health; the result comes to {@link RoutingPolicy#onProbeResult}. */
    void probe(DataNode node);

    /** Adds a line to the operators' log. */
    void log(String text);
}
