package postbeam.errors;

/** Carries an {@link OperatorError} to where it is reported; its message is the error's. */
public class OperatorErrorException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient OperatorError error;

    /** An error without an underlying exception. */
    public OperatorErrorException(OperatorError error) {
        this(error, null);
    }

    /**
     * An error that another exception caused.
     *
     * @param cause null where there is none
     */
    public OperatorErrorException(OperatorError error, Throwable cause) {
        super(error.message(), cause);
        this.error = error;
    }

    /** What went wrong. */
    public OperatorError error() {
        return error;
    }
}
