package postbeam.policy;

import java.time.Duration;
import postbeam.model.Attempt;
import postbeam.model.DataNode;
import postbeam.model.Query;

/**
 * What the decisions can have done. A protocol's door implements it, one for each running instance,
 * and carries out every call at once and in order. A second protocol brings a second door, not a
 * second Decide.
 */
public interface PolicyActions {
    /** Sends a leaf call; those sent to one node in one turn travel together. */
    void send(Attempt attempt);

    /** Stops waiting for a leaf call; its outcome is still reported. */
    void cancel(Attempt attempt);

    /** Answers the query from its merged parts. */
    void answer(Query query, boolean whole);

    /**
     * Ends the query and tells the client that asking again is harmless, after a wait if one is
     * advised.
     */
    void reject(Query query, Duration comeBack);

    /** Ends the query without a promise about its effect. */
    void abort(Query query);

    /** Asks for {@link RoutingPolicy#onWakeUp} after this time. */
    void wakeAfter(Duration wait);

    /** Asks a node how it is; the result comes to {@link RoutingPolicy#onProbeResult}. */
    void probe(DataNode node);

    /** Adds a line to the operators' log. */
    void log(String text);
}
