package postbeam.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.NoSuchElementException;

/** Reads the simulator's wire line by line, and a line field by field. */
final class LineReader {
    private static final char FIELD_SEPARATOR = '\t';
    private static final String ABSENT = "-";

    /** Longest part of a line that an error shows. */
    private static final int MAX_SHOWN = 80;

    private final BufferedReader in;
    private String line;
    private int position;
    private long lineNumber;

    LineReader(BufferedReader in) {
        this.in = in;
    }

    /** Moves on to the next line that is not empty; false at the end of the input. */
    boolean nextLine() throws IOException {
        do {
            line = in.readLine();
            lineNumber++;
        } while (line != null && line.isEmpty());
        position = 0;
        return line != null;
    }

    boolean hasMoreFields() {
        return position <= line.length();
    }

    /** The next field; null where its value is absent. */
    String nextField() {
        if (!hasMoreFields()) {
            throw new NoSuchElementException("a field is missing");
        }
        int end = line.indexOf(FIELD_SEPARATOR, position);
        if (end < 0) {
            end = line.length();
        }
        String value = line.substring(position, end);
        position = end + 1;
        return value.equals(ABSENT) ? null : value;
    }

    void skipField() {
        nextField();
    }

    /** The next field, whose value may not be absent. */
    String requiredText() {
        String value = nextField();
        if (value == null) {
            throw new NoSuchElementException("a field that must be there is absent");
        }
        return value;
    }

    long requiredNumber() {
        return Long.parseLong(requiredText());
    }

    /** The next field as a number; the default where its value is absent. */
    long number(long defaultValue) {
        String value = nextField();
        return value == null ? defaultValue : Long.parseLong(value);
    }

    double requiredDecimal() {
        return Double.parseDouble(requiredText());
    }

    /** The error for the line that was read last. */
    MalformedLineException malformed(String problem) {
        String start = "";
        if (line != null) {
            start = line.substring(0, Math.min(MAX_SHOWN, line.length()));
        }
        start = start.replace(FIELD_SEPARATOR, ' ');
        return new MalformedLineException(
                lineNumber, problem + (start.isEmpty() ? "" : ", in: " + start));
    }
}
