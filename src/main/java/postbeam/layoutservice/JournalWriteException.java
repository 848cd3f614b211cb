package postbeam.layoutservice;

import java.io.IOException;

/**
 * Thrown if a journal record could not be written; it is not known whether the record is on disk.
 * The service makes no further decisions in this process; a restart continues from what is on disk.
 */
final class JournalWriteException extends IOException {
    private static final long serialVersionUID = 1L;

    JournalWriteException(IOException cause) {
        super(
                "the journal can't be written, and the request may or may not be recorded;"
                        + " restart the service and check its status",
                cause);
    }
}
