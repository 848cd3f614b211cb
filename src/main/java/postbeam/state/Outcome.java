package postbeam.state;

/** How a leaf call ended. */
public enum Outcome {
    MERGED(false),
    ERROR(false),
    FULL(true),
    TIMEOUT(false),
    UNREACHABLE(true),
    RESET(false),
    CANCELLED(false),
    NEVER_SENT(true),
    /** The node holds that slice no more, or not yet. */
    MOVED(true);

    /** True where the outcome proves that the part never ran. */
    public final boolean provesNotRun;

    Outcome(boolean provesNotRun) {
        this.provesNotRun = provesNotRun;
    }
}
