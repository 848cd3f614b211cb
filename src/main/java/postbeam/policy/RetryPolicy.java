package postbeam.policy;

import static postbeam.model.Durations.max;
import static postbeam.policy.PolicyTiming.REVIEW_INTERVAL;

import java.time.Duration;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.ShardRequest;
import postbeam.model.SideEffects;

/**
 * Decides which attempts a shard request may have, given its side effects and earlier attempts, and
 * how long an answer to them is useful.
 */
final class RetryPolicy {
    private final AttemptLimits limits;
    private final RetryBudget budget;
    private final HedgingPolicy hedging;

    RetryPolicy(AttemptLimits limits, RetryBudget budget, HedgingPolicy hedging) {
        this.limits = limits;
        this.budget = budget;
        this.hedging = hedging;
    }

    /** Returns whether the request may have a further attempt now or later. */
    boolean mayAttemptLater(Duration now, ShardRequest request) {
        if (request.isClosed() || request.attempts.size() >= limits.maxAttempts()) {
            return false;
        }
        QueryClass queryClass = request.query.queryClass();
        Duration executedSince = request.mayHaveExecutedSince();
        return switch (queryClass.sideEffects) {
            case IDEMPOTENT -> true;
            case DEDUPLICATED ->
                    executedSince == null
                            || isDeduplicated(now.plus(REVIEW_INTERVAL), executedSince, queryClass);
            case NON_IDEMPOTENT -> executedSince == null;
        };
    }

    /** Returns whether the request may have a further attempt now. */
    boolean mayAttemptNow(Duration now, ShardRequest request) {
        return (request.attemptsInFlight.isEmpty() || hedging.mayHedge(request))
                && mayAttemptLater(now, request)
                && (request.attempts.isEmpty() || budget.allowsRetry(now));
    }

    /**
     * Returns whether a request can still be retried if its attempt is cancelled now and the retry
     * is sent once the cancellation is confirmed.
     */
    boolean mayCancelAndRetry(Duration now, Duration firstSentAt, QueryClass queryClass) {
        if (queryClass.sideEffects == SideEffects.NON_IDEMPOTENT) {
            return false;
        }
        Duration retryAt = now.plus(PolicyTiming.FINAL_ANSWER_MARGIN);
        return queryClass.sideEffects == SideEffects.IDEMPOTENT
                || isDeduplicated(retryAt, firstSentAt, queryClass);
    }

    /**
     * Returns the timeout of an attempt sent now; null if its outcome is awaited until the client's
     * deadline.
     */
    Duration timeout(Duration now, Query query) {
        QueryClass queryClass = query.queryClass();
        if (queryClass.sideEffects == SideEffects.NON_IDEMPOTENT) {
            return null;
        }
        Duration usefulUntil = queryClass.lateUtility > 0 ? query.deadline : query.sloDeadline();
        return max(REVIEW_INTERVAL, usefulUntil.minus(now));
    }

    /**
     * Returns the time after which an attempt of the request must not be sent, because data nodes
     * would no longer recognise it as a duplicate; null if there is no limit.
     */
    Duration sendDeadline(ShardRequest request) {
        QueryClass queryClass = request.query.queryClass();
        if (queryClass.sideEffects != SideEffects.DEDUPLICATED
                || request.mayHaveExecutedSince() == null) {
            return null;
        }
        return request.mayHaveExecutedSince()
                .plus(queryClass.deduplicationWindow)
                .minus(REVIEW_INTERVAL);
    }

    /** Returns whether data nodes drop a duplicate that arrives at this time. */
    private static boolean isDeduplicated(Duration at, Duration sentAt, QueryClass queryClass) {
        return queryClass.deduplicationWindow != null
                && at.minus(sentAt).compareTo(queryClass.deduplicationWindow) < 0;
    }
}
