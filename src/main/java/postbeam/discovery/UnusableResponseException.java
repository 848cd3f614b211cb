package postbeam.discovery;

import java.io.IOException;

/** A response that arrived but can't be used: its status, its form or its content is wrong. */
final class UnusableResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message a clause without a full stop, since it is written to logs
     */
    UnusableResponseException(String message) {
        super(message);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param message a clause without a full stop, as above
     */
    UnusableResponseException(String message, Throwable cause) {
        super(message, cause);
    }
}
