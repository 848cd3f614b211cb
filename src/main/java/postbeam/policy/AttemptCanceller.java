package postbeam.policy;

import postbeam.model.Attempt;
import postbeam.model.ShardRequest;

/** Cancels attempts that are no longer wanted, where the deployment allows it. */
final class AttemptCanceller {
    private final PolicyActions actions;
    private final AttemptLimits limits;

    AttemptCanceller(PolicyActions actions, AttemptLimits limits) {
        this.actions = actions;
        this.limits = limits;
    }

    /** Cancels all that is in flight of the request, each attempt once. */
    void cancelAttempts(ShardRequest request) {
        for (Attempt attempt : request.attemptsInFlight) {
            if (limits.cancellationAllowed() && !attempt.isCancellationRequested()) {
                attempt.requestCancellation();
                actions.cancel(attempt);
            }
        }
    }
}
