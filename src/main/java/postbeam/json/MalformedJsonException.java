package postbeam.json;

import java.io.IOException;

/** A document that is JSON but not of the expected form; the message says which member and why. */
public final class MalformedJsonException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * The message is a clause without a full stop, as it is sent to clients and written to logs.
     */
    public MalformedJsonException(String message) {
        super(message);
    }
}
