package postbeam.simulator;

import java.time.Duration;
import java.util.Map;
import java.util.Random;
import postbeam.config.InstanceSettings;
import postbeam.config.PolicyFactory;
import postbeam.endpoints.EndpointRegistry;
import postbeam.endpoints.PollSchedule;
import postbeam.model.Attempt;
import postbeam.model.DataNode;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.ShardRequest;
import postbeam.model.Tenant;
import postbeam.policy.PolicyActions;
import postbeam.policy.RoutingPolicy;

/** A simulated router: passes events to its routing policy, and writes the policy's actions. */
final class SimulatedRouter implements PolicyActions {
    /** Cookie that identifies the timer of the routing policy in expiry events. */
    private static final int WAKE_UP_TIMER = 0;

    /** Cookie that identifies the timer for polling discovery in expiry events. */
    private static final int POLL_TIMER = 1;

    private static final long NANOS_PER_MICRO = 1000;

    private final long startMicros;
    private final ActionWriter actions;
    private final EndpointRegistry registry;
    private final Map<String, QueryClass> queryClasses;
    private final Map<String, Tenant> tenants;
    private final SimulatedQueryTable table = new SimulatedQueryTable();
    private final RoutingPolicy policy;
    private final PollSchedule pollSchedule;

    /** Time of the latest poll timer; null before the first one. */
    private Duration scheduledPollAt;

    SimulatedRouter(
            int id, long seed, InstanceSettings settings, long nowMicros, StringBuilder out) {
        this.startMicros = nowMicros;
        this.actions = new ActionWriter(id, out);
        this.registry = new EndpointRegistry(settings.text("zone"));
        this.queryClasses = PolicyFactory.queryClasses(settings);
        this.tenants = PolicyFactory.tenants(settings);
        Random random = new Random(seed);
        this.policy =
                PolicyFactory.routingPolicy(
                        this, random, PolicyFactory.cluster(settings), settings);
        this.pollSchedule = PolicyFactory.pollSchedule(settings, random);
    }

    /**
     * Converts a time of the session's clock, in microseconds, to the time since this router
     * started.
     */
    Duration sinceStart(long micros) {
        return Duration.ofNanos((micros - startMicros) * NANOS_PER_MICRO);
    }

    // ---- events

    void onQuery(Duration now, RouterEvent.QueryArrival event) {
        QueryClass queryClass = queryClasses.get(event.queryClass());
        if (queryClass == null) {
            throw new InvalidFieldException("the query class is not in the settings");
        }
        Tenant tenant = tenants.get(event.tenant());
        Query query = new Query(queryClass, tenant, now, now.plus(event.timeout()));
        if (event.clientRetry()) {
            query.markClientRetry();
        }
        table.add(event.id(), event.number(), query);
        policy.onQuery(now, query);
    }

    void onShardRequest(Duration now, RouterEvent.ShardRequestArrival event) {
        Query query = table.query(event.queryNumber());
        if (query != null) {
            ShardRequest request =
                    new ShardRequest(query, event.shard(), event.weight(), event.estimatedWork());
            table.add(event.id(), request);
            policy.onShardRequest(now, request);
        }
    }

    void onAttemptReport(Duration now, RouterEvent.AttemptReport event) {
        ShardRequest request = table.request(event.requestId());
        if (request == null || event.attemptIndex() >= request.attempts.size()) {
            return;
        }
        Attempt attempt = request.attempts.get(event.attemptIndex());
        if (!attempt.hasEnded()) {
            policy.onAttemptEnded(now, attempt, event.outcome(), event.latency(), event.isLast());
            table.removeIfEnded(request.query);
        }
    }

    void onClientDisconnect(Duration now, RouterEvent.ClientDisconnect event) {
        Query query = table.query(event.queryId());
        if (query != null && !query.hasEnded()) {
            policy.onClientDisconnected(now, query);
            table.removeIfEnded(query);
        }
    }

    void onProbeResult(Duration now, RouterEvent.ProbeResult event) {
        DataNode node = registry.node(event.node());
        if (node != null) {
            policy.onProbeResult(now, node, event.healthy());
        }
    }

    void onTimer(Duration now, RouterEvent.TimerExpiry event) {
        if (event.cookie() != POLL_TIMER) {
            policy.onWakeUp(now);
        }
    }

    void onPollFailure(Duration now) {
        pollSchedule.onPollResult(now, true);
    }

    void onEndpointUpdate(Duration now, RouterEvent.EndpointUpdate event) {
        if (event.polled()) {
            pollSchedule.onPollResult(now, false);
        }
        registry.update(now, event.endpoints(), event.complete(), this::sinceStart, policy);
    }

    /** Called after all events of a batch have been passed to the policy. */
    void onBatchEnd(Duration now) {
        policy.onBatchEnd(now);
    }

    /** Polls discovery if a poll is due, and sets a timer for the next poll. */
    void pollIfDue(Duration now) {
        if (pollSchedule.startPollIfDue(now)) {
            actions.pollDiscovery();
        }
        Duration next = pollSchedule.nextPollAt();
        if (next != null && !next.equals(scheduledPollAt)) {
            scheduledPollAt = next;
            actions.setTimer(next.minus(now), POLL_TIMER);
        }
    }

    /** Called after the policy has thrown an exception for an event of this router. */
    void onFailure(RuntimeException e) {
        actions.reportPolicyFailure(e);
    }

    // ---- actions of the policy

    @Override
    public void send(Attempt attempt) {
        actions.attempt(
                table.id(attempt.shardRequest), registry.nameOf(attempt.node), attempt.timeout);
    }

    @Override
    public void cancel(Attempt attempt) {
        actions.cancel(table.id(attempt.shardRequest), attempt.index);
    }

    @Override
    public void answer(Query query, boolean complete) {
        actions.answer(table.id(query), complete);
        table.removeIfEnded(query);
    }

    @Override
    public void reject(Query query, Duration retryAfter) {
        actions.reject(table.id(query), retryAfter);
        table.removeIfEnded(query);
    }

    @Override
    public void abort(Query query) {
        actions.abort(table.id(query));
        table.removeIfEnded(query);
    }

    @Override
    public void wakeAfter(Duration wait) {
        actions.setTimer(wait, WAKE_UP_TIMER);
    }

    @Override
    public void probe(DataNode node) {
        actions.probe(registry.nameOf(node));
    }

    @Override
    public void log(String text) {
        actions.log(text);
    }
}
