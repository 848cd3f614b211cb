package postbeam.errors;

/** Carries an error up to where it is told; its message is the error's line. */
public class ExplainedException extends Exception {
    private final transient Explained error;

    public ExplainedException(Explained error) {
        this(error, null);
    }

    public ExplainedException(Explained error, Throwable cause) {
        super(error.line(), cause);
        this.error = error;
    }

    public Explained error() {
        return error;
    }
}
