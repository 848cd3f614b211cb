package postbeam.policy;

import java.time.Duration;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.model.Query;
import postbeam.model.ShardRequest;
import postbeam.model.SlidingWindowCounter;

/**
 * Limits the damage done by a query whose requests crash the data nodes that execute them. While
 * nodes are crashing, and for a query of which an attempt has ended in a connection reset, one
 * request is sent first as a canary and the others are sent once it is answered. A query whose
 * canary ends in a connection reset is marked as poisoned. The cost is the latency of one request
 * per query, even if the crashes have other causes.
 */
final class CanaryPolicy {
    /** Sliding window over which crashes are counted. */
    private static final Duration CRASH_WINDOW = Duration.ofSeconds(10);

    /** Number of crashes within the window from which every query needs a canary. */
    private static final int MIN_CRASHES = 2;

    /**
     * Counts nodes that the endpoint list reports as removed or restarted although they were not
     * draining.
     */
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

    /** Returns whether the query's next request must be sent as a canary. */
    boolean needsCanary(Duration now, Query query) {
        return query.countRequests(ShardRequest::isAnswered) == 0
                && (query.resetCount() > 0
                        || crashes.upperBoundSum(now, CRASH_WINDOW) >= MIN_CRASHES);
    }
}
