package postbeam.errors;

/** Carries an error up to where it is told; its message is the error's line. */
public class OperatorErrorException extends Exception {
    private final transient OperatorError error;

    public OperatorErrorException(OperatorError error) {
        this(error, null);
    }

    public OperatorErrorException(OperatorError error, Throwable cause) {
        super(error.message(), cause);
        this.error = error;
    }

    public OperatorError error() {
        return error;
    }
}
