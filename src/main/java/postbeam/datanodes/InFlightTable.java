package postbeam.datanodes;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import postbeam.dispatch.DispatchedAttempt;

/** The attempts in flight on one connection, and the ids of those that ended recently. */
final class InFlightTable {
    /**
     * Limit of remembered ids of ended attempts. A duplicate response, or one that crossed a
     * cancellation on the wire, arrives soon after the end of its attempt.
     */
    private static final int MAX_REMEMBERED_IDS = 128;

    private final Map<String, InFlightAttempt> byId = new LinkedHashMap<>();

    /** Ids of ended attempts, the oldest first. */
    private final Set<String> recentlyEnded = new LinkedHashSet<>();

    void add(InFlightAttempt inFlight) {
        byId.put(inFlight.attempt().id, inFlight);
    }

    /** Returns the attempt with this id; null if none is in flight. */
    InFlightAttempt find(String id) {
        return byId.get(id);
    }

    /**
     * Returns the entry of this attempt; null if it is not in flight here. An attempt with the same
     * id that is another object does not count.
     */
    InFlightAttempt find(DispatchedAttempt attempt) {
        InFlightAttempt inFlight = byId.get(attempt.id);
        return inFlight == null || inFlight.attempt() != attempt ? null : inFlight;
    }

    /** Removes an ended attempt and remembers its id, to recognize late or duplicate responses. */
    void end(DispatchedAttempt attempt) {
        byId.remove(attempt.id);
        recentlyEnded.add(attempt.id);
        if (recentlyEnded.size() > MAX_REMEMBERED_IDS) {
            recentlyEnded.remove(recentlyEnded.iterator().next());
        }
    }

    boolean hasEndedRecently(String id) {
        return recentlyEnded.contains(id);
    }

    /** Returns the attempts in flight, in the order in which their frames were started. */
    Collection<InFlightAttempt> all() {
        return byId.values();
    }

    int size() {
        return byId.size();
    }

    boolean isEmpty() {
        return byId.isEmpty();
    }
}
