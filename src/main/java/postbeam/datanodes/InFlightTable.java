package postbeam.datanodes;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import postbeam.dispatch.DispatchedAttempt;

/** The attempts in flight on one connection, and the ids of those that ended last. */
final class InFlightTable {
    /**
     * Ids of ended attempts that are kept: a second response, or one that crossed a cancel, comes
     * soon.
     */
    private static final int MAX_REMEMBERED_IDS = 128;

    private final Map<String, InFlightAttempt> byId = new LinkedHashMap<>();

    /** The longest ended first. */
    private final Set<String> recentlyEnded = new LinkedHashSet<>();

    void add(InFlightAttempt inFlight) {
        byId.put(inFlight.attempt().id, inFlight);
    }

    /** Null if none of this id is in flight. */
    InFlightAttempt find(String id) {
        return byId.get(id);
    }

    /** Null if this very attempt is not in flight here. */
    InFlightAttempt find(DispatchedAttempt attempt) {
        InFlightAttempt inFlight = byId.get(attempt.id);
        return inFlight == null || inFlight.attempt() != attempt ? null : inFlight;
    }

    /** The attempt has ended; late or second responses to it are known from now on. */
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

    /** In the order in which they were begun. */
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
