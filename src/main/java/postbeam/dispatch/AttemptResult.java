package postbeam.dispatch;

import postbeam.model.AttemptOutcome;

/**
 * How an attempt ended.
 *
 * @param value what the node sent, also with an error; null where it sent nothing
 */
@SuppressWarnings("ArrayRecordComponent") // Results are never compared, and values are large.
public record AttemptResult(DispatchedAttempt attempt, AttemptOutcome outcome, byte[] value) {
    /** A result without a value. */
    public AttemptResult(DispatchedAttempt attempt, AttemptOutcome outcome) {
        this(attempt, outcome, null);
    }
}
