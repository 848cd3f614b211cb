package postbeam.slices;

/**
 * What a data node is to do with a slice. Commands are idempotent: each may come twice and then
 * changes nothing.
 */
public enum HandoffCommand {
    /**
     * Copy the keys' data from another node, or take it up under another number where the node
     * holds it itself.
     */
    COPY,
    /** Keep what was copied up to date. */
    HOLD,
    /** Accept no new calls for it, and acknowledge once no accepted call is left. */
    FENCE,
    /** Serve it, for calls of this version of the layout or a later one. */
    SERVE,
    /** Delete it. */
    DROP
}
