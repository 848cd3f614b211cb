package postbeam.dispatch;

import postbeam.model.AttemptOutcome;

/** How a leaf call ended, and what the node gave where it merged. */
public record AttemptResult(DispatchedAttempt attempt, AttemptOutcome outcome, byte[] value) {
    public AttemptResult(DispatchedAttempt call, AttemptOutcome outcome) {
        this(call, outcome, null);
    }
}
