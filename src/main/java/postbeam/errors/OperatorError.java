package postbeam.errors;

/**
 * An error that can happen in service, in words for operators. Each package has its kinds as
 * records under one sealed interface that extends this one; log lines, commands and HTTP answers
 * all carry {@link #message}.
 */
public interface OperatorError {
    /**
     * What happened, and to what: a clause without a full stop, such as "migration 7 is not
     * paused".
     */
    String problem();

    /**
     * What an operator can do about it: a clause without a full stop, such as "wait until the node
     * is ready".
     */
    String remedy();

    /** Problem and remedy in one line, for log, command and answer. */
    default String message() {
        return problem() + "; " + remedy();
    }

    /** The error as an exception without a cause. */
    default OperatorErrorException toException() {
        return new OperatorErrorException(this);
    }
}
