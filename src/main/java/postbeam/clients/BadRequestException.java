package postbeam.clients;

import java.io.IOException;

/** Thrown for an invalid request. The message is sent to the client with status 400. */
final class BadRequestException extends IOException {
    private static final long serialVersionUID = 1L;

    BadRequestException(String message) {
        super(message);
    }

    BadRequestException(String message, Throwable cause) {
        super(message, cause);
    }
}
