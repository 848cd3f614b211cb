package postbeam.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.dispatch.QueryAction;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.model.DataNode;
import postbeam.model.Query;
import postbeam.model.ShardRequest;
import postbeam.policy.PolicyActions;
import postbeam.slices.KeyRange;
import postbeam.slices.KeyRangeRequest;
import postbeam.slices.LayoutCompleteness;
import postbeam.slices.SliceTranslator;

/**
 * Converts the policy's decisions into actions for the threads that communicate with clients and
 * data nodes. Called by the policy under the lock of {@link PolicyExecutor}; does no I/O.
 */
final class PolicyActionHandler implements PolicyActions {
    private static final System.Logger LOG = System.getLogger(PolicyActionHandler.class.getName());

    /** Called when a timer that the policy requested expires. */
    interface Expirations {
        void onAttemptTimeout(Attempt attempt);

        void onWakeUp();

        /** The health check of this node was not answered in time. */
        void onHealthCheckTimeout(DataNode node);
    }

    private final MonotonicClock clock;
    private final TimerQueue timers;
    private final QueryTable queries;
    private final AttemptTable attempts;
    private final NodeDirectory nodes;
    private final ActionOutbox outbox;

    /** Resolves slices by the layout in force; null if shards have fixed replicas. */
    private final SliceTranslator slicing;

    private final Duration healthCheckTimeout;
    private final Expirations expirations;

    PolicyActionHandler(
            MonotonicClock clock,
            TimerQueue timers,
            QueryTable queries,
            AttemptTable attempts,
            NodeDirectory nodes,
            ActionOutbox outbox,
            SliceTranslator slicing,
            Duration healthCheckTimeout,
            Expirations expirations) {
        this.clock = clock;
        this.timers = timers;
        this.queries = queries;
        this.attempts = attempts;
        this.nodes = nodes;
        this.outbox = outbox;
        this.slicing = slicing;
        this.healthCheckTimeout = healthCheckTimeout;
        this.expirations = expirations;
    }

    @Override
    public void send(Attempt attempt) {
        InFlightQuery query = queries.get(attempt.shardRequest.query);
        Duration deadline = deadline(attempt);
        DispatchedAttempt dispatched = dispatch(query, attempt, clock.toNanoTime(deadline));
        if (attempt.sendDeadline() != null) {
            dispatched.requireSentBy(
                    clock.toNanoTime(attempt.sendDeadline()), AttemptOutcome.NEVER_SENT);
        }
        query.addAttempt(dispatched);
        outbox.addAttempt(dispatched);
        attempts.add(
                dispatched, timers.schedule(deadline, () -> expirations.onAttemptTimeout(attempt)));
    }

    /** The deadline of the query, or of the attempt if that is earlier. */
    private static Duration deadline(Attempt attempt) {
        Duration queryDeadline = attempt.shardRequest.query.deadline;
        if (attempt.timeout == null) {
            return queryDeadline;
        }
        Duration attemptDeadline = attempt.sentAt.plus(attempt.timeout);
        return attemptDeadline.compareTo(queryDeadline) < 0 ? attemptDeadline : queryDeadline;
    }

    private DispatchedAttempt dispatch(InFlightQuery query, Attempt attempt, long deadlineNanos) {
        String id = query.request().id() + "." + attempt.shardRequest.shard;
        String headerFields = "";
        if (slicing != null) {
            KeyRange keys = ((KeyRangeRequest) attempt.shardRequest).keys;
            id += "-" + Long.toHexString(keys.from());
            headerFields = ",v=" + slicing.currentLayout().version + ",k=" + keys;
        }
        return query.isPaged()
                ? query.pagedQuery().createAttempt(query, attempt, id, headerFields, deadlineNanos)
                : new DispatchedAttempt(
                        query, attempt, id, headerFields, query.request().payload(), deadlineNanos);
    }

    @Override
    public void cancel(Attempt attempt) {
        DispatchedAttempt dispatched = attempts.get(attempt);
        if (dispatched != null) {
            dispatched.abandon();
            attempts.markCancelled(attempt);
            outbox.deliver(
                    queries.get(attempt.shardRequest.query),
                    new QueryAction.CancelAttempt(dispatched));
        }
    }

    @Override
    public void answer(Query query, boolean complete) {
        InFlightQuery inFlight = queries.get(query);
        queries.finish(
                inFlight,
                slicing == null
                        ? answerByShards(inFlight, complete)
                        : answerBySlices(inFlight, complete));
    }

    private static QueryAction answerByShards(InFlightQuery inFlight, boolean complete) {
        List<QueryAction.ShardValue> values = new ArrayList<>();
        for (ShardRequest shardRequest : inFlight.query().shardRequests) {
            if (shardRequest.isAnswered()) {
                byte[] value = inFlight.value(shardRequest);
                values.add(new QueryAction.ShardValue(shardRequest.shard, value, null));
            }
        }
        return new QueryAction.Answer(complete, values, 0);
    }

    /**
     * Collects the values of the answer. Values whose keys overlap, as after slices moved, are
     * included for one layout version only.
     */
    private QueryAction answerBySlices(InFlightQuery inFlight, boolean complete) {
        LayoutCompleteness completeness = slicing.completenessOf(inFlight.query());
        LayoutCompleteness.CompleteRequests completeRequests =
                completeness.completeRequests(inFlight.query());
        List<QueryAction.ShardValue> values = new ArrayList<>();
        for (KeyRangeRequest request : completeRequests.requests()) {
            if (inFlight.isPaged()) {
                inFlight.pagedQuery().includeRows(request);
            }
            QueryAction.KeyCoverage coverage =
                    new QueryAction.KeyCoverage(
                            request.keys.from(),
                            request.keys.to(),
                            completeness.requestedSlicesIn(request.keys));
            values.add(
                    new QueryAction.ShardValue(request.shard, inFlight.value(request), coverage));
        }
        return new QueryAction.Answer(complete, values, completeRequests.version());
    }

    @Override
    public void reject(Query query, Duration retryAfter) {
        queries.finish(queries.get(query), new QueryAction.Reject(retryAfter));
    }

    @Override
    public void abort(Query query) {
        queries.finish(queries.get(query), new QueryAction.Abort());
    }

    @Override
    public void wakeAfter(Duration wait) {
        timers.schedule(clock.now().plus(wait), expirations::onWakeUp);
    }

    @Override
    public void probe(DataNode node) {
        Object token = nodes.beginHealthCheck(node);
        outbox.deliverInBackground(
                new QueryAction.HealthCheck(nodes.name(node), nodes.address(node)));
        timers.schedule(
                clock.now().plus(healthCheckTimeout),
                () -> {
                    if (nodes.expireHealthCheck(node, token)) {
                        expirations.onHealthCheckTimeout(node);
                    }
                });
    }

    @Override
    public void log(String text) {
        LOG.log(System.Logger.Level.INFO, text);
    }
}
