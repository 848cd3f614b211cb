package postbeam.simulator;

import java.io.IOException;

/** Input that does not follow the wire. */
public final class MalformedLineException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedLineException(long line, String what) {
        super("line " + line + ": " + what);
    }
}
