package postbeam.simulator;

/** A field of the simulator's wire protocol that is missing or has an invalid value. */
final class InvalidFieldException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    InvalidFieldException(String problem) {
        super(problem);
    }

    InvalidFieldException(NumberFormatException cause) {
        super(cause.getMessage(), cause);
    }
}
