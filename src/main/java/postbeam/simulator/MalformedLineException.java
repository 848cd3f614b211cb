package postbeam.simulator;

import java.io.IOException;

/** Reports input that violates the simulator's wire protocol; the message has the line number. */
public final class MalformedLineException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedLineException(long line, String problem) {
        super("line " + line + ": " + problem);
    }
}
