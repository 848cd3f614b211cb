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
 * Hands events to the policy and has it decide: each event is recorded in a turn, at the end of
 * which the policy decides on all events so far, unless the last decision is too recent ({@link
 * DecisionPacer}). A failure of the policy costs one query. Guarded by the lock of {@link
 * PolicyExecutor}.
 */
final class DecisionLoop {
    private static final System.Logger LOG = System.getLogger(DecisionLoop.class.getName());

    private final RoutingPolicy policy;

    /** Null where shards have fixed replicas. */
    private final SliceTranslator slicing;

    private final MonotonicClock clock;
    private final DecisionPacer pacer;
    private final TimerQueue timers;
    private final QueryTable queries;
    private final AttemptTable attempts;
    private final ActionOutbox outbox;

    /** Queries with events since the last decision, the latest first: suspects if that fails. */
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

    /** Records an event, of this query or of none, and decides if the pacer allows it. */
    void processEvent(InFlightQuery query, Duration now, Runnable eventHandler) {
        runGuarded(query, eventHandler);
        if (query != null) {
            recentQueries.push(query);
        }
        if (pacer.mayDecide(now)) {
            decide(now);
        } else if (pacer.claimWakeUp()) {
            // The timer's own turn decides.
            timers.schedule(pacer.nextDecisionAt(), () -> {});
        }
    }

    /**
     * Has the policy decide on all events since the last decision, and again once the attempts that
     * it cancelled have ended.
     */
    private void decide(Duration now) {
        pacer.beginDecision();
        List<Attempt> cancelled;
        do {
            while (!runGuarded(recentQueries.poll(), () -> policy.onBatchEnd(now))) {
                // Again, without the query that was aborted.
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
     * Runs a step of the policy. If that fails, the query that it is about is aborted, else the
     * oldest: a failure that repeats costs the queries in flight one by one, but never the router.
     *
     * @return whether the step need not be repeated
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
            LOG.log(System.Logger.Level.ERROR, "a query could not be ended", e);
        }
        queries.finish(abortedQuery, new QueryAction.Abort());
        return false;
    }

    /** Keeps what a data node gave and ends the attempt; one that had ended is ignored. */
    void endAttempt(Duration now, AttemptResult result) {
        Attempt attempt = result.attempt().policyAttempt;
        InFlightQuery query = queries.get(attempt.shardRequest.query);
        if (query != null && !attempt.hasEnded() && result.outcome() == AttemptOutcome.SUCCESS) {
            query.recordSuccess(result);
        }
        runGuarded(query, () -> endAttempt(now, attempt, result.outcome()));
    }

    /** Ends an attempt; one that had ended is ignored. */
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
            slicing.remapStaleParts(attempt.shardRequest.query);
        }
    }
}
