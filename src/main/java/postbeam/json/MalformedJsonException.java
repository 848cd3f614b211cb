package postbeam.json;

import java.io.IOException;

/**
 * A JSON document that does not have the expected structure; the message says which member is wrong
 * and why.
 */
public final class MalformedJsonException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message a clause without a full stop, since it is sent to clients and written to logs
     */
    public MalformedJsonException(String message) {
        super(message);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param message a clause without a full stop, as above
     */
    MalformedJsonException(String message, Throwable cause) {
        super(message, cause);
    }
}
