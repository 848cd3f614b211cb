package postbeam.model;

/** The outcome of an attempt. */
public enum AttemptOutcome {
    /** The node answered. */
    SUCCESS(false),
    /** The node failed, or its answer could not be read. */
    ERROR(false),
    /** The node rejected it for lack of capacity. */
    OVERLOADED(true),
    /** No answer came in time. */
    TIMEOUT(false),
    /** No connection to the node could be opened. */
    UNREACHABLE(true),
    /** The connection failed after the attempt was sent. */
    RESET(false),
    /** The router cancelled it. */
    CANCELLED(false),
    /** It was never sent. */
    NEVER_SENT(true),
    /** The node does not hold the slice. */
    MOVED(true);

    /** Whether this outcome proves that the request was not executed. */
    public final boolean provesNotExecuted;

    AttemptOutcome(boolean provesNotExecuted) {
        this.provesNotExecuted = provesNotExecuted;
    }

    /** Whether the router stopped waiting without any response. */
    public boolean isAbandoned() {
        return this == TIMEOUT || this == CANCELLED;
    }
}
