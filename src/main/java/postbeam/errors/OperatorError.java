package postbeam.errors;

/**
 * What went wrong, in a type of its own: what happened, to what, and what an operator can do about
 * it. Each package has its kinds as records under one sealed interface that extends this; log,
 * command and answer all say {@link #message}.
 */
public interface OperatorError {
    /**
     * What happened and to what, as a clause with no full stop: "the lease of node 10.0.0.4:8083
     * ended before its send".
     */
    String problem();

    /** One sentence on what an operator can do, with no full stop: "see whether ... and ...". */
    String remedy();

    /** The one sentence for log, command and answer. */
    default String message() {
        return problem() + "; " + remedy();
    }
}
