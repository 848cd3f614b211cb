package postbeam.model;

import java.time.Duration;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A data node as one router knows it: its location, its state in the endpoint list, and its
 * attempts in flight.
 */
public final class DataNode {
    /** Number of the node's cell, used if shards are placed by cell. */
    public final int cell;

    /** Zone that the node is in. */
    public final Zone zone;

    private final Set<Attempt> inFlight = new LinkedHashSet<>();

    /** Attempts whose outcome is not known yet, oldest first; an unmodifiable view. */
    public final Set<Attempt> attemptsInFlight = Collections.unmodifiableSet(inFlight);

    private Readiness readiness = Readiness.READY;
    private Duration startedAt;
    private Object policyState;

    /** Creates a node that is ready and whose start time is not known. */
    public DataNode(int cell, Zone zone) {
        this.cell = cell;
        this.zone = zone;
    }

    /** Returns the state of the node in the endpoint list. */
    public Readiness readiness() {
        return readiness;
    }

    /**
     * Returns the time of the node's last start according to the endpoint list; null if it is not
     * known or long ago.
     */
    public Duration startedAt() {
        return startedAt;
    }

    /** Sets the state and the start time of the node in the endpoint list. */
    public void update(Readiness readiness, Duration startedAt) {
        this.readiness = readiness;
        this.startedAt = startedAt;
    }

    /**
     * Returns the state that the routing policy keeps for this node; null until the node has been
     * in the endpoint list. Only the policy interprets it.
     */
    public Object policyState() {
        return policyState;
    }

    /** Sets the state that the routing policy keeps for this node. The policy calls this once. */
    public void attachPolicyState(Object state) {
        policyState = state;
    }

    /**
     * Returns the number of batches in flight. Attempts that were sent at the same time form one
     * batch.
     */
    public int batchesInFlight() {
        int batches = 0;
        Duration lastSentAt = null;
        for (Attempt attempt : inFlight) {
            if (!attempt.sentAt.equals(lastSentAt)) {
                batches++;
                lastSentAt = attempt.sentAt;
            }
        }
        return batches;
    }

    /** Returns the oldest attempt in flight; null if there is none. */
    public Attempt oldestAttemptInFlight() {
        return inFlight.isEmpty() ? null : inFlight.iterator().next();
    }

    void add(Attempt attempt) {
        inFlight.add(attempt);
    }

    void remove(Attempt attempt) {
        inFlight.remove(attempt);
    }
}
