package postbeam.layoutservice;

/** A request that the layout service can't serve now, or doesn't know. */
final class RequestRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;

    /**
     * Rejects a request.
     *
     * @param status the HTTP status of the answer
     * @param reason the answer's text
     */
    RequestRejectedException(int status, String reason) {
        super(reason);
        this.status = status;
    }

    int status() {
        return status;
    }
}
