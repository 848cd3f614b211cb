package postbeam.slices;

/**
 * Thrown if a query names slices that this router can't map to those of the current layout. No part
 * of the query has been executed then.
 */
public final class UnroutableQueryException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Why the slices can't be mapped. */
    public enum Reason {
        /** The client names a layout version that this router no longer keeps. */
        LAYOUT_EXPIRED,
        /** The router does not know the layout version yet, or its lease on the layout is over. */
        LAYOUT_UNKNOWN,
        /** The layout version has no such slice, or the query names too many slices. */
        UNKNOWN_SLICE
    }

    /** Why the slices can't be mapped. */
    public final Reason reason;

    /**
     * Creates an exception.
     *
     * @param message the text that is sent to the client
     */
    public UnroutableQueryException(Reason reason, String message) {
        super(message);
        this.reason = reason;
    }
}
