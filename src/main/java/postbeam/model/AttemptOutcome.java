package postbeam.model;

/** Outcome of an attempt. */
public enum AttemptOutcome {
    /** The data node answered. */
    SUCCESS(false),
    /** The data node reported a failure, or its answer could not be read. */
    ERROR(false),
    /** The data node rejected the attempt for lack of capacity. */
    OVERLOADED(true),
    /** No answer arrived in time. */
    TIMEOUT(false),
    /** No connection to the data node could be opened. */
    UNREACHABLE(true),
    /** The connection failed after the attempt had been sent. */
    RESET(false),
    /** The router cancelled the attempt. */
    CANCELLED(false),
    /** The attempt was never sent. */
    NEVER_SENT(true),
    /** The data node does not hold the slice that the call named. */
    MOVED(true);

    /** Whether this outcome proves that the data node did not execute the request. */
    public final boolean provesNotExecuted;

    AttemptOutcome(boolean provesNotExecuted) {
        this.provesNotExecuted = provesNotExecuted;
    }

    /** Returns whether the router stopped waiting before it received any response. */
    public boolean isAbandoned() {
        return this == TIMEOUT || this == CANCELLED;
    }
}
