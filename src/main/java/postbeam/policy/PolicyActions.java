package postbeam.policy;

import java.time.Duration;
import postbeam.model.Attempt;
import postbeam.model.DataNode;
import postbeam.model.Query;

/**
 * The actions of a routing policy. Each protocol implements it, with one instance per policy, and
 * carries out every call at once and in order.
 */
public interface PolicyActions {
    /** Sends an attempt. Attempts sent to one node within one batch of events share a call. */
    void send(Attempt attempt);

    /** Cancels an attempt; its outcome is still reported. */
    void cancel(Attempt attempt);

    /**
     * Answers the query from the requests that are answered; {@code complete} says whether these
     * suffice for a complete answer.
     */
    void answer(Query query, boolean complete);

    /**
     * Ends the query with a rejection: a retry is harmless, after this time if it is above zero.
     */
    void reject(Query query, Duration retryAfter);

    /** Ends the query with an error that says nothing about its side effects. */
    void abort(Query query);

    /** Schedules a call of {@link RoutingPolicy#onWakeUp} after this time. */
    void wakeAfter(Duration wait);

    /** Probes a node's health; the result is passed to {@link RoutingPolicy#onProbeResult}. */
    void probe(DataNode node);

    /** Writes a line to the log. */
    void log(String text);
}
