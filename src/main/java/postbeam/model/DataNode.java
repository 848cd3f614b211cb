package postbeam.model;

import java.time.Duration;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A data node as one router knows it: its location, its state in the endpoint list, and the
 * attempts in flight.
 */
public final class DataNode {
    /** Number of its cell, where shards are placed by cell. */
    public final int cell;

    /** Its zone. */
    public final Zone zone;

    private final Set<Attempt> inFlight = new LinkedHashSet<>();

    /** The attempts without an outcome, oldest first; an unmodifiable view. */
    public final Set<Attempt> attemptsInFlight = Collections.unmodifiableSet(inFlight);

    private Readiness readiness = Readiness.READY;
    private Duration startedAt;
    private Object policyState;

    /** Creates a node that is ready and whose start time is not known. */
    public DataNode(int cell, Zone zone) {
        this.cell = cell;
        this.zone = zone;
    }

    /** Its state in the endpoint list. */
    public Readiness readiness() {
        return readiness;
    }

    /** When it last started according to the endpoint list; null if not known or long ago. */
    public Duration startedAt() {
        return startedAt;
    }

    /** Sets its state in the endpoint list. */
    public void update(Readiness readiness, Duration startedAt) {
        this.readiness = readiness;
        this.startedAt = startedAt;
    }

    /**
     * The routing policy's state of this node, opaque to all others; null before the node was
     * listed.
     */
    public Object policyState() {
        return policyState;
    }

    /** Sets the routing policy's state; called once, by the policy. */
    public void attachPolicyState(Object state) {
        policyState = state;
    }

    /** Number of batches in flight: attempts sent at the same time share a batch. */
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

    /** The oldest attempt in flight; null if there is none. */
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
