package postbeam.cli;

/** What operators see of an exception. */
final class ErrorMessages {
    private ErrorMessages() {}

    static String firstLine(Exception e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }
}
