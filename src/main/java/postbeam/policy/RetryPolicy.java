package postbeam.policy;

import static postbeam.model.Durations.max;
import static postbeam.policy.PolicyTiming.REVIEW_INTERVAL;

import java.time.Duration;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.ShardRequest;
import postbeam.model.SideEffects;

/**
 * Which attempts a shard request may still get, by its past and its side effects, and until when.
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

    /** Whether the request may get an attempt now or later, as far as its past tells. */
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

    /** Whether the request may get an attempt now. */
    boolean mayAttemptNow(Duration now, ShardRequest request) {
        return (request.attemptsInFlight.isEmpty() || hedging.mayHedge(request))
                && mayAttemptLater(now, request)
                && (request.attempts.isEmpty() || budget.allowsRetry(now));
    }

    /**
     * Whether the request could be sent again at that time, while the router waits for the first.
     */
    boolean mayCancelAndRetry(Duration now, Duration firstSentAt, QueryClass queryClass) {
        if (queryClass.sideEffects == SideEffects.NON_IDEMPOTENT) {
            return false;
        }
        Duration retryAt = now.plus(PolicyTiming.FINAL_ANSWER_MARGIN);
        return queryClass.sideEffects == SideEffects.IDEMPOTENT
                || isDeduplicated(retryAt, firstSentAt, queryClass);
    }

    /** How long an attempt is of use; null for as long as its client waits. */
    Duration timeout(Duration now, Query query) {
        QueryClass queryClass = query.queryClass();
        if (queryClass.sideEffects == SideEffects.NON_IDEMPOTENT) {
            return null;
        }
        Duration usefulUntil = queryClass.lateUtility > 0 ? query.deadline : query.sloDeadline();
        return max(REVIEW_INTERVAL, usefulUntil.minus(now));
    }

    /**
     * The time after which an attempt may not be sent any more, however long it waits for a
     * connection: nodes would not drop it as a second execution. Null where it may be sent at any
     * time.
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

    /** Whether nodes would drop a second execution at that time. */
    private static boolean isDeduplicated(Duration at, Duration sentAt, QueryClass queryClass) {
        return queryClass.deduplicationWindow != null
                && at.minus(sentAt).compareTo(queryClass.deduplicationWindow) < 0;
    }
}
