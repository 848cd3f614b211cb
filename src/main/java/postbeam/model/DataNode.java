package postbeam.model;

import java.time.Duration;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A data node as one router knows it: its place, what the endpoint list says, what is in flight.
 */
public final class DataNode {
    /** The cell it belongs to, from 0, where shards are placed by cell. */
    public final int cell;

    /** The zone it is in. */
    public final Zone zone;

    private final Set<Attempt> inFlight = new LinkedHashSet<>();

    /** The attempts without an outcome, oldest first; a view that can't be changed. */
    public final Set<Attempt> attemptsInFlight = Collections.unmodifiableSet(inFlight);

    private Readiness readiness = Readiness.READY;
    private Duration startedAt;
    private Object policyState;

    /** Creates a node that is ready, of which no start is known. */
    public DataNode(int cell, Zone zone) {
        this.cell = cell;
        this.zone = zone;
    }

    /** What the endpoint list says of it. */
    public Readiness readiness() {
        return readiness;
    }

    /** When it last started, by the endpoint list; null where not known, or long ago. */
    public Duration startedAt() {
        return startedAt;
    }

    /** Takes over what the endpoint list says of it. */
    public void update(Readiness readiness, Duration startedAt) {
        this.readiness = readiness;
        this.startedAt = startedAt;
    }

    /** What the routing policy remembers of it, opaque to all others; null before it was listed. */
    public Object policyState() {
        return policyState;
    }

    /** Sets what the routing policy remembers of it; called once, by the policy. */
    public void attachPolicyState(Object state) {
        policyState = state;
    }

    /** How many batches are in flight, where attempts sent at one time travel in one batch. */
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

    /** The attempt that has been in flight for longest; null where none is. */
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
