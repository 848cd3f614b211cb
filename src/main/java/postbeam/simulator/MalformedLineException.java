package postbeam.simulator;

import java.io.IOException;

/** Input that does not follow the simulator's wire protocol; the message names the line. */
public final class MalformedLineException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedLineException(long line, String problem) {
        super("line " + line + ": " + problem);
    }
}
