package postbeam.dispatch;

/**
 * A request has the id of an earlier query that has ended after attempts were made for it. Data
 * nodes may still work on these attempts, and an answer names only the id. Clients give each
 * request a new id, retries included.
 */
public final class ReusedRequestIdException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message is sent to the client. */
    public ReusedRequestIdException() {
        super("this Req-Id was used by an earlier request");
    }
}
