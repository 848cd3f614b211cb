package postbeam.simulator;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import postbeam.config.InstanceSettings;
import postbeam.config.PolicyFactory;
import postbeam.endpoints.Endpoint;
import postbeam.endpoints.EndpointRegistry;
import postbeam.endpoints.PollSchedule;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.model.DataNode;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.ShardRequest;
import postbeam.model.Tenant;
import postbeam.policy.PolicyActions;
import postbeam.policy.RoutingPolicy;

/** One simulated router: tells its policy what the wire says, and writes what the policy does. */
final class SimulatedRouter implements PolicyActions {
    /** Bits of a request's attributes. */
    private static final int HAS_WORK_HINT = 1;

    private static final int CLIENT_RETRY = 2;

    /** Cookies of timers: the policy's, and the one for polling discovery. */
    private static final int WAKE_UP_TIMER = 0;

    private static final int POLL_TIMER = 1;

    private static final long NANOS_PER_MICRO = 1000;

    private final long startMicros;
    private final ActionWriter actions;
    private final EndpointRegistry registry;
    private final Map<String, QueryClass> queryClasses;
    private final Map<String, Tenant> tenants;
    private final QueryTable table = new QueryTable();
    private final RoutingPolicy policy;
    private final PollSchedule pollSchedule;
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
                PolicyFactory.routingPolicy(this, random, PolicyFactory.cluster(settings), settings);
        this.pollSchedule = PolicyFactory.pollSchedule(settings, random);
    }

    /** The session's clock as a span since this router's start. */
    Duration sinceStart(long micros) {
        return Duration.ofNanos((micros - startMicros) * NANOS_PER_MICRO);
    }

    // ---- discovery

    void onPollResult(Duration now, boolean failed) {
        pollSchedule.onPollResult(now, failed);
    }

    void onEndpointList(Duration now, List<Endpoint> endpoints, boolean complete) {
        registry.update(now, endpoints, complete, this::sinceStart, policy);
    }

    /** Polls discovery where that is due, or sets a timer for when it is. */
    void pollIfDue(Duration now) {
        if (pollSchedule.startPollIfDue(now)) {
            actions.observe();
        }
        Duration next = pollSchedule.nextPollAt();
        if (next != null && !next.equals(scheduledPollAt)) {
            scheduledPollAt = next;
            actions.defer(next.minus(now), POLL_TIMER);
        }
    }

    // ---- events

    void onBatchEnd(Duration now) {
        policy.onBatchEnd(now);
    }

    void onTimer(Duration now, LineReader in) {
        if (in.number(WAKE_UP_TIMER) != POLL_TIMER) {
            policy.onWakeUp(now);
        }
    }

    /** A query, whose shard is below 0, or a shard request of one. */
    void onIngress(Duration now, LineReader in) {
        String id = in.requiredText();
        String queryClass = in.nextField();
        String tenant = in.nextField();
        in.skipField();
        Duration patience = micros(in.requiredNumber());
        long workMicros = in.number(0);
        long queryNumber = (long) in.requiredDecimal();
        int shard = (int) in.requiredDecimal();
        double weight = in.requiredDecimal();
        long attributes = in.number(0);
        if (shard < 0) {
            Query query = newQuery(now, queryClass, tenant, patience);
            if ((attributes & CLIENT_RETRY) != 0) {
                query.markClientRetry();
            }
            table.add(id, queryNumber, query);
            policy.onQuery(now, query);
            return;
        }
        Query query = table.query(queryNumber);
        if (query != null) {
            boolean hinted = (attributes & HAS_WORK_HINT) != 0 && workMicros > 0;
            Duration work = hinted ? micros(workMicros) : null;
            ShardRequest request = new ShardRequest(query, shard, weight, work);
            table.add(id, request);
            policy.onShardRequest(now, request);
        }
    }

    private Query newQuery(Duration now, String queryClass, String tenant, Duration patience) {
        QueryClass found = queryClasses.get(queryClass);
        if (found == null) {
            throw new IllegalArgumentException("a vertical that the settings lack");
        }
        return new Query(found, tenants.get(tenant), now, now.plus(patience));
    }

    void onAttemptReport(Duration now, LineReader in) {
        String requestId = in.requiredText();
        int attemptIndex = (int) in.requiredNumber();
        AttemptOutcome outcome = outcome(in.requiredText());
        boolean isLast = "1".equals(in.nextField());
        Duration latency = micros(in.number(0));
        ShardRequest request = table.request(requestId);
        if (request == null || attemptIndex >= request.attempts.size()) {
            return;
        }
        Attempt attempt = request.attempts.get(attemptIndex);
        if (!attempt.hasEnded()) {
            policy.onAttemptEnded(now, attempt, outcome, latency, isLast);
            table.forgetIfEnded(request.query);
        }
    }

    void onClientAbandoned(Duration now, LineReader in) {
        Query query = table.query(in.requiredText());
        if (query != null && !query.hasEnded()) {
            policy.onClientDisconnected(now, query);
            table.forgetIfEnded(query);
        }
    }

    void onProbeResult(Duration now, LineReader in) {
        DataNode node = registry.node(in.requiredText());
        AttemptOutcome outcome = outcome(in.requiredText());
        if (node != null) {
            policy.onProbeResult(now, node, outcome == AttemptOutcome.SUCCESS);
        }
    }

    /** The policy failed on an event of this router. */
    void onFailure(RuntimeException e) {
        actions.panic(e);
    }

    private static Duration micros(long count) {
        return Duration.ofNanos(count * NANOS_PER_MICRO);
    }

    private static AttemptOutcome outcome(String wireName) {
        return switch (wireName) {
            case "ok" -> AttemptOutcome.SUCCESS;
            case "error" -> AttemptOutcome.ERROR;
            case "full" -> AttemptOutcome.OVERLOADED;
            case "timeout" -> AttemptOutcome.TIMEOUT;
            case "connect_failed" -> AttemptOutcome.UNREACHABLE;
            case "reset" -> AttemptOutcome.RESET;
            case "cancelled" -> AttemptOutcome.CANCELLED;
            case "moot" -> AttemptOutcome.NEVER_SENT;
            default -> throw new IllegalArgumentException("unknown outcome " + wireName);
        };
    }

    // ---- what the policy does

    @Override
    public void send(Attempt attempt) {
        actions.attempt(
                table.id(attempt.shardRequest), registry.nameOf(attempt.node), attempt.timeout);
    }

    @Override
    public void cancel(Attempt attempt) {
        actions.recall(table.id(attempt.shardRequest), attempt.index);
    }

    @Override
    public void answer(Query query, boolean complete) {
        actions.wrapUp(table.id(query), complete);
        table.forgetIfEnded(query);
    }

    @Override
    public void reject(Query query, Duration retryAfter) {
        actions.reject(table.id(query), retryAfter);
        table.forgetIfEnded(query);
    }

    @Override
    public void abort(Query query) {
        actions.reportFailure(table.id(query));
        table.forgetIfEnded(query);
    }

    @Override
    public void wakeAfter(Duration wait) {
        actions.defer(wait, WAKE_UP_TIMER);
    }

    @Override
    public void probe(DataNode node) {
        actions.sample(registry.nameOf(node));
    }

    @Override
    public void log(String text) {
        actions.trace(text);
    }
}
