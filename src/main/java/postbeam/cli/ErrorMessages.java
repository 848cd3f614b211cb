package postbeam.cli;

/** Formats exceptions for operators. */
final class ErrorMessages {
    private ErrorMessages() {}

    /** Returns the first line of the message; {@code null} as text if there is no message. */
    static String firstLine(Exception e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }
}
