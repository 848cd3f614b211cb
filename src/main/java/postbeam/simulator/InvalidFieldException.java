package postbeam.simulator;

/** Reports a missing or invalid field in the simulator's wire protocol. */
final class InvalidFieldException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    InvalidFieldException(String problem) {
        super(problem);
    }

    InvalidFieldException(NumberFormatException cause) {
        super(cause.getMessage(), cause);
    }
}
