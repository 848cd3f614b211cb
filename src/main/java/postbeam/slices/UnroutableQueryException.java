package postbeam.slices;

/** A query names slices that this router can't map to those in force; nothing of it has run. */
public final class UnroutableQueryException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Why the slices can't be mapped. */
    public enum Reason {
        /** The client names a version that is no longer kept. */
        LAYOUT_EXPIRED,
        /** The router does not know the version yet, or may not rely on the one that it knows. */
        LAYOUT_UNKNOWN,
        /** The client names a slice that the version never had, or too many. */
        UNKNOWN_SLICE
    }

    /** Why the slices can't be mapped. */
    public final Reason reason;

    /** An exception with the text that the client gets. */
    public UnroutableQueryException(Reason reason, String message) {
        super(message);
        this.reason = reason;
    }
}
