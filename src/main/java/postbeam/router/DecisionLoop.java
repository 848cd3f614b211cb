package postbeam.router;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import postbeam.dispatch.AttemptResult;
import postbeam.dispatch.QueryAction;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.policy.RoutingPolicy;
import postbeam.slices.SliceTranslator;

/**
 * Passes events to the policy and triggers its decisions. After each event, the policy decides on
 * all events so far, unless the last decision is too recent ({@link DecisionPacer}). If the policy
 * fails, one query is aborted and the others go on. Guarded by the lock of {@link PolicyExecutor}.
 */
final class DecisionLoop {
    private static final System.Logger LOG = System.getLogger(DecisionLoop.class.getName());

    private final RoutingPolicy policy;

    /** Resolves slices by the layout in force; null if shards have fixed replicas. */
    private final SliceTranslator slicing;

    private final MonotonicClock clock;
    private final DecisionPacer pacer;
    private final TimerQueue timers;
    private final QueryTable queries;
    private final AttemptTable attempts;
    private final ActionOutbox outbox;

    /**
     * Queries with events since the last decision, the latest first. If that decision fails, they
     * are aborted in this order.
     */
    private final Deque<InFlightQuery> recentQueries = new ArrayDeque<>();

    DecisionLoop(
            RoutingPolicy policy,
            SliceTranslator slicing,
            MonotonicClock clock,
            DecisionPacer pacer,
            TimerQueue timers,
            QueryTable queries,
            AttemptTable attempts,
            ActionOutbox outbox) {
        this.policy = policy;
        this.slicing = slicing;
        this.clock = clock;
        this.pacer = pacer;
        this.timers = timers;
        this.queries = queries;
        this.attempts = attempts;
        this.outbox = outbox;
    }

    /**
     * Passes an event to the policy and lets it decide if the pacer allows it; otherwise schedules
     * a timer for the next decision.
     *
     * @param query the query that the event concerns, or null
     */
    void processEvent(InFlightQuery query, Duration now, Runnable eventHandler) {
        runGuarded(query, eventHandler);
        if (query != null) {
            recentQueries.push(query);
        }
        if (pacer.mayDecide(now)) {
            decide(now);
        } else if (pacer.claimWakeUp()) {
            // The task is empty: running any timer is an event of its own, after which the policy
            // decides.
            timers.schedule(pacer.nextDecisionAt(), () -> {});
        }
    }

    /**
     * Lets the policy decide on all events since the last decision, and again as long as decisions
     * cancel attempts, whose end is an event too.
     */
    private void decide(Duration now) {
        pacer.beginDecision();
        List<Attempt> cancelled;
        do {
            while (!runGuarded(recentQueries.poll(), () -> policy.onBatchEnd(now))) {
                // Retries without the query that was aborted.
            }
            outbox.flush();
            cancelled = attempts.removeCancelled();
            cancelled.forEach(
                    attempt ->
                            runGuarded(
                                    queries.get(attempt.shardRequest.query),
                                    () -> endAttempt(now, attempt, AttemptOutcome.CANCELLED)));
        } while (!cancelled.isEmpty());
        recentQueries.clear();
        pacer.endDecision();
    }

    /**
     * Runs a step of the policy. If it fails, the query that it concerns is aborted or, if that is
     * unknown or has ended, the oldest one. A failure that repeats aborts the queries in flight one
     * by one but never stops the router.
     *
     * @return false if a query was aborted, in which case the caller may repeat the step
     */
    boolean runGuarded(InFlightQuery query, Runnable step) {
        try {
            step.run();
            return true;
        } catch (RuntimeException | StackOverflowError e) {
            LOG.log(System.Logger.Level.ERROR, "deciding failed; a query is aborted for it", e);
        }
        InFlightQuery abortedQuery =
                query != null && queries.contains(query.query()) ? query : queries.oldest();
        if (abortedQuery == null) {
            return true;
        }
        try {
            policy.onClientDisconnected(clock.now(), abortedQuery.query());
        } catch (RuntimeException e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "query "
                            + abortedQuery.request().id()
                            + ": the policy failed again while it ended the query",
                    e);
        }
        queries.finish(abortedQuery, new QueryAction.Abort());
        return false;
    }

    /**
     * Records the value of a successful attempt and ends the attempt; ignores one that had already
     * ended.
     */
    void endAttempt(Duration now, AttemptResult result) {
        Attempt attempt = result.attempt().policyAttempt;
        InFlightQuery query = queries.get(attempt.shardRequest.query);
        if (query != null && !attempt.hasEnded() && result.outcome() == AttemptOutcome.SUCCESS) {
            query.recordSuccess(result);
        }
        runGuarded(query, () -> endAttempt(now, attempt, result.outcome()));
    }

    /** Ends an attempt; ignores one that had already ended. */
    void endAttempt(Duration now, Attempt attempt, AttemptOutcome outcome) {
        if (attempts.end(attempt)) {
            policy.onAttemptEnded(
                    now,
                    attempt,
                    outcome,
                    now.minus(attempt.sentAt),
                    attempt.shardRequest.query.hasEnded());
            if (slicing != null) {
                updateSlices(attempt, outcome);
            }
        }
    }

    private void updateSlices(Attempt attempt, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.MOVED) {
            slicing.excludeReplica(attempt.shardRequest, attempt.node);
            timers.schedule(
                    clock.now().plus(SliceTranslator.EXCLUSION_TIME),
                    () -> slicing.readmitReplica(attempt.shardRequest.shard, attempt.node));
        }
        if (queries.contains(attempt.shardRequest.query)) {
            slicing.remapStaleRequests(attempt.shardRequest.query);
        }
    }
}
