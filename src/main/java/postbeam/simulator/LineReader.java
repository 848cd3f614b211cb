package postbeam.simulator;

import java.io.BufferedReader;
import java.io.IOException;

/** Reads input in the simulator's wire protocol line by line, and each line field by field. */
final class LineReader {
    private static final char FIELD_SEPARATOR = '\t';
    private static final String ABSENT = "-";

    /** Maximum number of characters of a line in an error message. */
    private static final int MAX_EXCERPT_LENGTH = 80;

    private final BufferedReader in;
    private String line;
    private int position;
    private long lineNumber;

    LineReader(BufferedReader in) {
        this.in = in;
    }

    /** Moves to the next line that is not empty; returns false at the end of the input. */
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

    /** Returns the next field; null if its value is absent ({@code -}). */
    String nextField() {
        if (!hasMoreFields()) {
            throw new InvalidFieldException("the line has too few fields");
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

    /** Returns the next field, whose value must be present. */
    String requiredText() {
        String value = nextField();
        if (value == null) {
            throw new InvalidFieldException("a required field has the value -, which means absent");
        }
        return value;
    }

    /** Returns the next field as an integer, whose value must be present. */
    long requiredNumber() {
        return parseNumber(requiredText());
    }

    /** Returns the next field as an integer; the default if its value is absent. */
    long number(long defaultValue) {
        String value = nextField();
        return value == null ? defaultValue : parseNumber(value);
    }

    /** Returns the next field as a decimal number, whose value must be present. */
    double requiredDecimal() {
        try {
            return Double.parseDouble(requiredText());
        } catch (NumberFormatException e) {
            throw new InvalidFieldException(e);
        }
    }

    private static long parseNumber(String value) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new InvalidFieldException(e);
        }
    }

    /** Creates an exception for the current line, with its number and an excerpt of it. */
    MalformedLineException malformed(String problem) {
        String excerpt = "";
        if (line != null) {
            excerpt = line.substring(0, Math.min(MAX_EXCERPT_LENGTH, line.length()));
        }
        excerpt = excerpt.replace(FIELD_SEPARATOR, ' ');
        return new MalformedLineException(
                lineNumber, problem + (excerpt.isEmpty() ? "" : ", in: " + excerpt));
    }
}
