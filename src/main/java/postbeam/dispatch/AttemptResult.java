package postbeam.dispatch;

import postbeam.model.AttemptOutcome;

/**
 * Result of an attempt.
 *
 * @param value bytes that the data node sent, also with an error; null if it sent none
 */
@SuppressWarnings("ArrayRecordComponent") // Results are never compared, and values are large.
public record AttemptResult(DispatchedAttempt attempt, AttemptOutcome outcome, byte[] value) {
    /** Creates a result without a value. */
    public AttemptResult(DispatchedAttempt attempt, AttemptOutcome outcome) {
        this(attempt, outcome, null);
    }
}
