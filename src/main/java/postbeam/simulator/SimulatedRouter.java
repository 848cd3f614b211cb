package postbeam.simulator;

import java.time.Duration;
import java.util.HashMap;
import java.util.IdentityHashMap;
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

/**
 * One instance at the door: turns ids into objects and back, and writes what its Decide has done.
 */
final class SimulatedRouter implements PolicyActions {
    private static final int COST_HINT_IS_VALID = 1;
    private static final int CLIENT_RETRY = 2;

    /** Cookies of timers: the decisions' own, and the one for asking discovery. */
    private static final int WAKE_UP_TIMER = 0;

    private static final int POLL_TIMER = 1;

    private final int id;
    private final long startMicros;
    private final StringBuilder out;
    private final EndpointRegistry registry;
    private final Map<String, QueryClass> queryClasses;
    private final Map<String, Tenant> tenants;
    private final Map<String, Query> queries = new HashMap<>();
    private final Map<Long, Query> byNumber = new HashMap<>();
    private final Map<Query, Long> numbers = new IdentityHashMap<>();
    private final Map<String, ShardRequest> shardRequests = new HashMap<>();
    private final Map<Object, String> ids = new IdentityHashMap<>();
    private final RoutingPolicy policy;
    private final PollSchedule pollSchedule;
    private Duration scheduledPollAt;

    SimulatedRouter(int id, long seed, InstanceSettings info, long nowMicros, StringBuilder out) {
        this.id = id;
        this.startMicros = nowMicros;
        this.out = out;
        this.registry = new EndpointRegistry(info.text("zone"));
        this.queryClasses = PolicyFactory.queryClasses(info);
        this.tenants = PolicyFactory.tenants(info);
        Random chance = new Random(seed);
        this.policy = PolicyFactory.routingPolicy(this, chance, PolicyFactory.fleet(info), info);
        this.pollSchedule = PolicyFactory.pollSchedule(info, chance);
    }

    RoutingPolicy policy() {
        return policy;
    }

    Duration sinceStart(long micros) {
        return Duration.ofNanos((micros - startMicros) * 1000);
    }

    // ---- in: the host list

    void onListResponse(Duration now, boolean failed) {
        pollSchedule.onPollResult(now, failed);
    }

    /**
     * All that came in a batch has been told: discovery is asked where that is due, or a bell set
     * for when it is.
     */
    void pollDiscovery(Duration now) {
        if (pollSchedule.startPollIfDue(now)) {
            action("OBSERVE").append("\t1\n");
        }
        Duration next = pollSchedule.nextPollAt();
        if (next != null && !next.equals(scheduledPollAt)) {
            scheduledPollAt = next;
            action("DEFER")
                    .append('\t')
                    .append(micros(next.minus(now)))
                    .append('\t')
                    .append(POLL_TIMER)
                    .append('\n');
        }
    }

    void onTimer(Duration now, LineReader in) {
        if (in.number(0) != POLL_TIMER) {
            policy.onWakeUp(now);
        }
    }

    void onEndpointList(Duration now, List<Endpoint> entries, boolean whole) {
        registry.update(now, entries, whole, this::sinceStart, policy);
    }

    // ---- in: queries, parts, leaf calls

    void onRequest(Duration now, LineReader in) {
        String job = in.requiredText();
        String lane = in.nextField();
        String group = in.nextField();
        in.nextField();
        Duration left = Duration.ofNanos(in.number() * 1000);
        long work = in.number(0);
        long number = (long) Double.parseDouble(in.requiredText());
        int shard = (int) Double.parseDouble(in.requiredText());
        double amount = Double.parseDouble(in.requiredText());
        long attrs = in.number(0);
        if (shard < 0) {
            QueryClass queryClass = queryClasses.get(lane);
            if (queryClass == null) {
                throw new IllegalArgumentException("a vertical that the settings lack");
            }
            Query query = new Query(queryClass, tenants.get(group), now, now.plus(left));
            if ((attrs & CLIENT_RETRY) != 0) {
                query.markClientRetry();
            }
            queries.put(job, query);
            byNumber.put(number, query);
            numbers.put(query, number);
            ids.put(query, job);
            policy.onQuery(now, query);
            return;
        }
        Query query = byNumber.get(number);
        if (query == null) {
            return;
        }
        Duration hint =
                (attrs & COST_HINT_IS_VALID) != 0 && work > 0
                        ? Duration.ofNanos(work * 1000)
                        : null;
        ShardRequest request = new ShardRequest(query, shard, amount, hint);
        shardRequests.put(job, request);
        ids.put(request, job);
        policy.onShardRequest(now, request);
    }

    void onAttemptReport(Duration now, LineReader in) {
        String job = in.requiredText();
        int hop = (int) in.number();
        AttemptOutcome outcome = outcome(in.requiredText());
        boolean over = "1".equals(in.nextField());
        Duration took = Duration.ofNanos(in.number(0) * 1000);
        ShardRequest request = shardRequests.get(job);
        if (request == null
                || hop >= request.attempts.size()
                || request.attempts.get(hop).hasEnded()) {
            return;
        }
        policy.onAttemptEnded(now, request.attempts.get(hop), outcome, took, over);
        forgetIfDone(request.query);
    }

    void onClientAbandoned(Duration now, LineReader in) {
        Query query = queries.get(in.requiredText());
        if (query != null && !query.hasEnded()) {
            policy.onClientDisconnected(now, query);
            forgetIfDone(query);
        }
    }

    void onProbeResult(Duration now, LineReader in) {
        DataNode node = registry.node(in.requiredText());
        AttemptOutcome outcome = outcome(in.requiredText());
        if (node != null) {
            policy.onProbeResult(now, node, outcome == AttemptOutcome.SUCCESS);
        }
    }

    static AttemptOutcome outcome(String code) {
        return switch (code) {
            case "ok" -> AttemptOutcome.SUCCESS;
            case "error" -> AttemptOutcome.ERROR;
            case "full" -> AttemptOutcome.OVERLOADED;
            case "timeout" -> AttemptOutcome.TIMEOUT;
            case "connect_failed" -> AttemptOutcome.UNREACHABLE;
            case "reset" -> AttemptOutcome.RESET;
            case "cancelled" -> AttemptOutcome.CANCELLED;
            case "moot" -> AttemptOutcome.NEVER_SENT;
            default -> throw new IllegalArgumentException("unknown outcome " + code);
        };
    }

    /** An ended query is forgotten once the last of its leaf calls has reported back. */
    private void forgetIfDone(Query query) {
        if (!query.hasEnded()) {
            return;
        }
        String job = ids.get(query);
        if (job != null) {
            queries.remove(job);
            Long number = numbers.remove(query);
            byNumber.remove(number, query);
            ids.remove(query);
        }
        forgetParts(query.shardRequests);
        forgetParts(query.firstStepRequests);
    }

    private void forgetParts(List<ShardRequest> done) {
        for (ShardRequest request : done) {
            if (request.attemptsInFlight.isEmpty()) {
                shardRequests.remove(ids.remove(request));
            }
        }
    }

    // ---- out

    private StringBuilder action(String name) {
        return out.append(name).append('\t').append(id);
    }

    private static long micros(Duration span) {
        return span.toNanos() / 1000;
    }

    @Override
    public void send(Attempt attempt) {
        action("ATTEMPT")
                .append('\t')
                .append(ids.get(attempt.shardRequest))
                .append('\t')
                .append(registry.nameOf(attempt.node))
                .append('\t')
                .append(attempt.timeout == null ? 0 : micros(attempt.timeout))
                .append('\n');
    }

    @Override
    public void cancel(Attempt attempt) {
        action("RECALL")
                .append('\t')
                .append(ids.get(attempt.shardRequest))
                .append('\t')
                .append(attempt.index)
                .append('\n');
    }

    @Override
    public void answer(Query query, boolean whole) {
        action("WRAP_UP")
                .append('\t')
                .append(ids.get(query))
                .append('\t')
                .append(whole ? 1 : 0)
                .append('\n');
        forgetIfDone(query);
    }

    @Override
    public void reject(Query query, Duration comeBack) {
        action("REJECT")
                .append('\t')
                .append(ids.get(query))
                .append('\t')
                .append(comeBack == null ? 0 : micros(comeBack))
                .append('\n');
        forgetIfDone(query);
    }

    @Override
    public void abort(Query query) {
        action("REPORT_FAILURE").append('\t').append(ids.get(query)).append('\n');
        forgetIfDone(query);
    }

    @Override
    public void wakeAfter(Duration wait) {
        action("DEFER")
                .append('\t')
                .append(micros(wait))
                .append('\t')
                .append(WAKE_UP_TIMER)
                .append('\n');
    }

    @Override
    public void probe(DataNode node) {
        action("SAMPLE").append('\t').append(registry.nameOf(node)).append('\n');
    }

    @Override
    public void log(String text) {
        action("TRACE").append('\t').append(text).append('\n');
    }

    void reportPanic(RuntimeException e) {
        StackTraceElement[] trace = e.getStackTrace();
        action("PANIC")
                .append('\t')
                .append(String.valueOf(e).replaceAll("\\s", " "))
                .append(" at ")
                .append(trace.length == 0 ? "an unknown place" : trace[0])
                .append('\n');
    }
}
