package postbeam.policy;

import java.time.Duration;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.model.Query;
import postbeam.model.ShardRequest;
import postbeam.model.SlidingWindowCounter;

/**
 * Guards against a query whose requests crash the nodes that begin them: while nodes crash, one
 * request goes ahead as a canary, and the others follow once one is answered; a query that lost its
 * canary is poisoned. It costs the time of a request, and could hurt where nodes crash for other
 * reasons and time is short.
 */
final class CanaryPolicy {
    /**
     * How long a crash counts as a sign of queries that crash nodes, and how many such tell of
     * them.
     */
    private static final Duration CRASH_MEMORY = Duration.ofSeconds(10);

    private static final int MIN_CRASHES = 2;

    /** Nodes that died or restarted with no drain before, by the endpoint list. */
    private final SlidingWindowCounter crashes = new SlidingWindowCounter(CRASH_MEMORY);

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

    /** Whether the query's next request goes ahead of the others. */
    boolean needsCanary(Duration now, Query query) {
        return query.countRequests(ShardRequest::isAnswered) == 0
                && (query.resetCount() > 0
                        || crashes.upperBoundSum(now, CRASH_MEMORY) >= MIN_CRASHES);
    }
}
