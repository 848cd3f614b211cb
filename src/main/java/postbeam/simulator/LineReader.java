package postbeam.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.NoSuchElementException;

/** Reads the wire line by line, and a line field by field. */
final class LineReader {
    private final BufferedReader in;
    private String line;
    private int at;
    private long number;

    LineReader(BufferedReader in) {
        this.in = in;
    }

    /** Moves on to the next line that is not empty; false at the end of the input. */
    boolean nextLine() throws IOException {
        do {
            line = in.readLine();
            number++;
        } while (line != null && line.isEmpty());
        at = 0;
        return line != null;
    }

    boolean hasMoreFields() {
        return at <= line.length();
    }

    /** The next field; null where it is absent. */
    String nextField() {
        if (!hasMoreFields()) {
            throw new NoSuchElementException("a field is missing");
        }
        int tab = line.indexOf('\t', at);
        String value = tab < 0 ? line.substring(at) : line.substring(at, tab);
        at = (tab < 0 ? line.length() : tab) + 1;
        return value.equals("-") ? null : value;
    }

    String requiredText() {
        String value = nextField();
        if (value == null) {
            throw new NoSuchElementException("a field that must be there is absent");
        }
        return value;
    }

    long number() {
        return Long.parseLong(requiredText());
    }

    /** A number where one stands, else the given one. */
    long number(long otherwise) {
        String value = nextField();
        return value == null ? otherwise : Long.parseLong(value);
    }

    MalformedLineException malformed(String what) {
        String head =
                line == null
                        ? ""
                        : line.substring(0, Math.min(80, line.length())).replace('\t', ' ');
        return new MalformedLineException(number, what + (head.isEmpty() ? "" : ", in: " + head));
    }
}
