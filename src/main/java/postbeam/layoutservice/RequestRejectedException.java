package postbeam.layoutservice;

/** The layout service can't handle a request now, or its method and path are unknown. */
final class RequestRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;

    /**
     * Creates the exception.
     *
     * @param status the HTTP status of the response
     * @param reason the text of the response
     */
    RequestRejectedException(int status, String reason) {
        super(reason);
        this.status = status;
    }

    int status() {
        return status;
    }
}
