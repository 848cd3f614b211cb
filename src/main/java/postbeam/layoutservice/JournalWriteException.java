package postbeam.layoutservice;

import java.io.IOException;

/**
 * A record could not be written: it may be on disk or not. The service decides nothing further; a
 * restart goes on from what is on disk.
 */
final class JournalWriteException extends IOException {
    private static final long serialVersionUID = 1L;

    JournalWriteException(IOException cause) {
        super(
                "the journal can't be written; whether the request was recorded shows after a"
                        + " restart of the service",
                cause);
    }
}
