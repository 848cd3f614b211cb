package postbeam.slices;

/**
 * A query that names slices which this router can't turn into those in force; nothing of it has
 * run.
 */
public final class UnroutableQueryException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Why: the client is too far behind, the router is behind, or the client names what never was.
     */
    public enum Reason {
        LAYOUT_EXPIRED,
        LAYOUT_UNKNOWN,
        UNKNOWN_SLICE
    }

    public final Reason reason;

    public UnroutableQueryException(Reason reason, String what) {
        super(what);
        this.reason = reason;
    }
}
