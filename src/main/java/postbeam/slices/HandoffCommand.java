package postbeam.slices;

/**
 * A command to a data node about a slice. Commands are idempotent: one that arrives again changes
 * nothing.
 */
public enum HandoffCommand {
    /**
     * Copy the data of the keys from another node, or register it under a new slice number if the
     * node holds it itself.
     */
    COPY,
    /** Keep the copied data up to date. */
    HOLD,
    /** Accept no new calls for the slice, and acknowledge once no accepted call is running. */
    FENCE,
    /** Serve the slice, for calls of the given layout version or a later one. */
    SERVE,
    /** Delete the slice's data. */
    DROP
}
