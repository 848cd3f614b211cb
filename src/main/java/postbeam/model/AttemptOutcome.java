package postbeam.model;

/** How a leaf call ended. */
public enum AttemptOutcome {
    SUCCESS(false),
    ERROR(false),
    OVERLOADED(true),
    TIMEOUT(false),
    UNREACHABLE(true),
    RESET(false),
    CANCELLED(false),
    NEVER_SENT(true),
    /** The node holds that slice no more, or not yet. */
    MOVED(true);

    /** True where the outcome proves that the part never ran. */
    public final boolean provesNotExecuted;

    AttemptOutcome(boolean provesNotRun) {
        this.provesNotExecuted = provesNotRun;
    }
}
