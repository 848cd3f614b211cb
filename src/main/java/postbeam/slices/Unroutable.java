package postbeam.slices;

/**
 * A query that names slices which this router can't turn into those in force; nothing of it has
 * run.
 */
public final class Unroutable extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Why: the client is too far behind, the router is behind, or the client names what never was.
     */
    public enum Reason {
        NO_LONGER_KEPT,
        NOT_KNOWN_YET,
        NO_SUCH_SLICE
    }

    public final Reason reason;

    public Unroutable(Reason reason, String what) {
        super(what);
        this.reason = reason;
    }
}
