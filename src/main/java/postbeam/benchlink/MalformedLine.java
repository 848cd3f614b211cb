package postbeam.benchlink;

import java.io.IOException;

/** Input that does not follow the wire. */
public final class MalformedLine extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedLine(long line, String what) {
        super("line " + line + ": " + what);
    }
}
