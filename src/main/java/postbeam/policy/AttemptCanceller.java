package postbeam.policy;

import postbeam.model.Attempt;
import postbeam.model.ShardRequest;

/** Cancels attempts that are no longer needed, if the deployment allows cancellation. */
final class AttemptCanceller {
    private final PolicyActions actions;
    private final AttemptLimits limits;

    AttemptCanceller(PolicyActions actions, AttemptLimits limits) {
        this.actions = actions;
        this.limits = limits;
    }

    /**
     * Cancels all attempts of the request that are in flight. Repeated calls cancel each attempt
     * once.
     */
    void cancelAttempts(ShardRequest request) {
        for (Attempt attempt : request.attemptsInFlight) {
            if (limits.cancellationAllowed() && !attempt.isCancellationRequested()) {
                attempt.requestCancellation();
                actions.cancel(attempt);
            }
        }
    }
}
