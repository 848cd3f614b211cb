package postbeam.slices;

/** What a data node is told to do with a slice. Each may come twice and then does nothing more. */
public enum HandoffCommand {
    /**
     * Copy the keys' data from another node, or take it up under another number where it holds it
     * itself.
     */
    COPY,
    /** Keep what was copied up to date. */
    HOLD,
    /** Take nothing new for it, and say so once nothing that was taken is left. */
    FENCE,
    /** Serve it, for calls of this version of the layout or a later one. */
    SERVE,
    /** Forget it. */
    DROP
}
