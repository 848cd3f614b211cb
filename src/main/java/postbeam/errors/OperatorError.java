package postbeam.errors;

/**
 * An error that can occur in operation, described for operators. Each package declares its kinds of
 * errors as records under one sealed interface that extends this one. Log lines, commands and HTTP
 * responses all contain {@link #message}.
 */
public interface OperatorError {
    /**
     * Returns what happened and to what: a clause without a full stop, such as "migration 7 is not
     * paused".
     */
    String problem();

    /**
     * Returns what an operator can do about it: a clause without a full stop, such as "wait until
     * the node is ready".
     */
    String remedy();

    /** Returns the problem and the remedy in one line, for logs, commands and HTTP responses. */
    default String message() {
        return problem() + "; " + remedy();
    }

    /** Returns an exception that carries this error and has no cause. */
    default OperatorErrorException toException() {
        return new OperatorErrorException(this);
    }
}
