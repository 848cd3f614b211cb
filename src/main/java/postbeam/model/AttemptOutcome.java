package postbeam.model;

/** How an attempt ended. */
public enum AttemptOutcome {
    /** The node answered. */
    SUCCESS(false),
    /** The node failed, or its answer could not be read. */
    ERROR(false),
    /** The node rejected it for lack of capacity. */
    OVERLOADED(true),
    /** No outcome came in time. */
    TIMEOUT(false),
    /** No connection to the node could be opened. */
    UNREACHABLE(true),
    /** The connection broke after it was sent. */
    RESET(false),
    /** The router cancelled it. */
    CANCELLED(false),
    /** It was never sent. */
    NEVER_SENT(true),
    /** The node holds that slice no more, or not yet. */
    MOVED(true);

    /** Whether this outcome proves that the request was not executed. */
    public final boolean provesNotExecuted;

    AttemptOutcome(boolean provesNotExecuted) {
        this.provesNotExecuted = provesNotExecuted;
    }

    /** Whether the router stopped waiting before anything was heard of it. */
    public boolean isAbandoned() {
        return this == TIMEOUT || this == CANCELLED;
    }
}
