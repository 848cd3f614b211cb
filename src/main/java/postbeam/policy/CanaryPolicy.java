package postbeam.policy;

import java.time.Duration;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.model.Query;
import postbeam.model.ShardRequest;
import postbeam.model.SlidingWindowCounter;

/**
 * Limits the damage of a query whose requests crash the nodes that execute them. While nodes crash,
 * one request of a query is sent first as a canary, and the others follow once it is answered; a
 * query whose canary is lost is marked as poisoned. This costs the latency of one request, also
 * when nodes crash for other reasons.
 */
final class CanaryPolicy {
    /** Window in which crashes are counted. */
    private static final Duration CRASH_WINDOW = Duration.ofSeconds(10);

    /** Number of crashes within the window from which canaries are required. */
    private static final int MIN_CRASHES = 2;

    /** Nodes that disappeared or restarted without draining, according to the endpoint list. */
    private final SlidingWindowCounter crashes = new SlidingWindowCounter(CRASH_WINDOW);

    void onNodeCrash(Duration now) {
        crashes.add(now, 1);
    }

    void onAttemptEnded(Attempt attempt, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.RESET) {
            Query query = attempt.shardRequest.query;
            query.recordReset();
            if (attempt.isCanary()) {
                query.markPoisoned();
            }
        }
    }

    /** Whether the query's next request must be sent as a canary. */
    boolean needsCanary(Duration now, Query query) {
        return query.countRequests(ShardRequest::isAnswered) == 0
                && (query.resetCount() > 0
                        || crashes.upperBoundSum(now, CRASH_WINDOW) >= MIN_CRASHES);
    }
}
