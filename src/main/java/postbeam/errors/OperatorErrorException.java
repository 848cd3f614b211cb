package postbeam.errors;

/**
 * Carries an {@link OperatorError} to the place where it is reported. The message of the exception
 * is that of the error.
 */
public class OperatorErrorException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient OperatorError error;

    /** Creates an exception without a cause. */
    public OperatorErrorException(OperatorError error) {
        this(error, null);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param cause the exception that caused the error; null if there is none
     */
    public OperatorErrorException(OperatorError error, Throwable cause) {
        super(error.message(), cause);
        this.error = error;
    }

    /** Returns the error that this exception carries. */
    public OperatorError error() {
        return error;
    }
}
