package postbeam.testbed.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import postbeam.endpoints.Endpoint;
import postbeam.endpoints.EndpointRegistry;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.model.Cluster;
import postbeam.model.DataNode;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.ShardRequest;
import postbeam.model.SideEffects;
import postbeam.policy.AdmissionControl;
import postbeam.policy.AttemptLimits;
import postbeam.policy.PolicyActions;
import postbeam.policy.RetryBudget;
import postbeam.policy.RoutingPolicy;
import postbeam.policy.SlowStart;
import postbeam.slices.KeyRange;
import postbeam.slices.KeyRangeRequest;
import postbeam.slices.Layout;
import postbeam.slices.LayoutCompleteness;
import postbeam.slices.SliceRequest;
import postbeam.slices.SliceTranslator;
import postbeam.slices.UnroutableQueryException;
import postbeam.testbed.verification.InvariantChecker;

/**
 * Runs the production routing policy and slice translation on the simulated clock. Implements the
 * policy's actions by simulated messages.
 */
final class SimulatedQueryRouter implements PolicyActions {
    /** Receives the outcome of an attempt. */
    interface Ended {
        void ended(AttemptOutcome outcome, String value);
    }

    private static final class Open {
        final String id;
        final Duration askedAt;
        final IdentityHashMap<ShardRequest, String> values = new IdentityHashMap<>();

        Open(String id, Duration askedAt) {
            this.id = id;
            this.askedAt = askedAt;
        }
    }

    final String name;
    private final SimulatedCluster cluster;
    private final SliceTranslator slicing;
    private final EndpointRegistry registry;
    private final RoutingPolicy policy;
    private final Map<String, QueryClass> verticals = new LinkedHashMap<>();
    private final IdentityHashMap<Query, Open> open = new IdentityHashMap<>();
    private final IdentityHashMap<Attempt, Boolean> out = new IdentityHashMap<>();
    private final List<Attempt> calledOff = new ArrayList<>();
    private long listVersion;

    SimulatedQueryRouter(
            SimulatedCluster cluster,
            String name,
            String zone,
            SliceTranslator slicing,
            long seed) {
        this.cluster = cluster;
        this.name = name;
        this.slicing = slicing;
        this.registry = new EndpointRegistry(zone);
        SimulatedCluster.kinds().forEach(kind -> verticals.put(kind.name(), kind.vertical()));
        slicing.placement().configure(registry::nameOf, at -> at);
        InvariantChecker.Rules rules = SimulatedCluster.rules();
        policy =
                new RoutingPolicy(
                        this,
                        new Random(seed),
                        new Cluster(slicing.placement()),
                        new AdmissionControl(
                                400, cluster.plan.routers(), null, Duration.ofMillis(500)),
                        new AttemptLimits(3, true, true, true, 16),
                        new RetryBudget(
                                rules.freeFurther(), rules.furtherShare(), rules.furtherSpan()),
                        new SlowStart(
                                rules.coldFrom(),
                                rules.ramp(),
                                rules.fallMultiple(),
                                rules.fall(),
                                cluster.plan.routers(),
                                Duration.ofMillis(1),
                                null));
    }

    // ---- events

    /**
     * Updates the endpoint list. Lists arrive in order, as over one connection: a list with an
     * older version than the current one is ignored.
     */
    void listed(long version, List<Endpoint> entries) {
        if (version < listVersion) {
            return;
        }
        listVersion = version;
        registry.update(
                cluster.now(), entries, true, micros -> Duration.ofNanos(micros * 1000), policy);
        turnEnded();
    }

    void laidOut(Layout layout) {
        if (slicing.onUpdate(layout)) {
            open.keySet().forEach(slicing::remapStaleRequests);
        }
        turnEnded();
    }

    void take(
            String id,
            SimulatedCluster.Kind kind,
            long version,
            List<InvariantChecker.RequestedSlice> wanted,
            Duration until) {
        Duration now = cluster.now();
        Query query = new Query(verticals.get(kind.name()), null, now, until);
        try {
            slicing.assignShardRequests(
                    query,
                    version,
                    wanted.stream()
                            .map(one -> new SliceRequest(one.slice(), one.weight(), null))
                            .toList());
        } catch (UnroutableQueryException e) {
            cluster.checker.rejected(now, id);
            return;
        }
        open.put(query, new Open(id, now));
        policy.onQuery(now, query);
        query.shardRequests.forEach(request -> policy.onShardRequest(now, request));
        turnEnded();
    }

    private void turnEnded() {
        while (true) {
            policy.onBatchEnd(cluster.now());
            if (calledOff.isEmpty()) {
                return;
            }
            List<Attempt> over = List.copyOf(calledOff);
            calledOff.clear();
            over.forEach(attempt -> ended(attempt, AttemptOutcome.CANCELLED, null));
        }
    }

    private void ended(Attempt attempt, AttemptOutcome outcome, String value) {
        if (out.remove(attempt) == null) {
            return;
        }
        Open q = open.get(attempt.shardRequest.query);
        if (q != null && outcome == AttemptOutcome.SUCCESS) {
            q.values.putIfAbsent(attempt.shardRequest, value);
        }
        policy.onAttemptEnded(
                cluster.now(),
                attempt,
                outcome,
                cluster.now().minus(attempt.sentAt),
                attempt.shardRequest.query.hasEnded());
        if (outcome == AttemptOutcome.MOVED) {
            slicing.excludeReplica(attempt.shardRequest, attempt.node);
            cluster.after(
                    SliceTranslator.EXCLUSION_TIME,
                    () -> {
                        slicing.readmitReplica(attempt.shardRequest.shard, attempt.node);
                        turnEnded();
                    });
        }
        if (q != null) {
            slicing.remapStaleRequests(attempt.shardRequest.query);
        }
    }

    /** Returns the queries and attempts that are still open at the end of the run, one per line. */
    List<String> leftOver() {
        List<String> left = new ArrayList<>();
        open.values().forEach(q -> left.add("rule 1, query " + q.id + ": still open at the end"));
        if (!out.isEmpty()) {
            left.add("router " + name + " still has " + out.size() + " attempts in flight");
        }
        return left;
    }

    // ---- actions of the policy

    @Override
    public void send(Attempt attempt) {
        out.put(attempt, true);
        KeyRangeRequest piece = (KeyRangeRequest) attempt.shardRequest;
        String query = open.get(piece.query).id;
        SimulatedDataNode node = cluster.node(registry.nameOf(attempt.node));
        long version = slicing.currentLayout().version;
        String part =
                query
                        + "."
                        + piece.shard
                        + "-"
                        + Long.toHexString(piece.keys.from())
                        + "#"
                        + attempt.index;
        KeyRange keys = piece.keys;
        boolean dropped = piece.query.queryClass().sideEffects == SideEffects.DEDUPLICATED;
        cluster.hop(
                () ->
                        node.called(
                                query,
                                part,
                                piece.shard,
                                keys,
                                version,
                                dropped,
                                (outcome, value) -> {
                                    ended(attempt, outcome, value);
                                    turnEnded();
                                }));
        Duration until = piece.query.deadline;
        if (attempt.timeout != null && attempt.sentAt.plus(attempt.timeout).compareTo(until) < 0) {
            until = attempt.sentAt.plus(attempt.timeout);
        }
        cluster.after(
                until.minus(cluster.now()),
                () -> {
                    if (out.containsKey(attempt)) {
                        ended(attempt, AttemptOutcome.TIMEOUT, null);
                        turnEnded();
                    }
                });
    }

    @Override
    public void cancel(Attempt attempt) {
        if (out.containsKey(attempt)) {
            calledOff.add(attempt);
        }
    }

    @Override
    public void answer(Query query, boolean whole) {
        Open q = open.remove(query);
        LayoutCompleteness.CompleteRequests counted =
                slicing.completenessOf(query).completeRequests(query);
        List<InvariantChecker.Value> values =
                counted.requests().stream()
                        .map(piece -> new InvariantChecker.Value(piece.keys, q.values.get(piece)))
                        .toList();
        cluster.checker.answered(cluster.now(), q.id, whole, counted.version(), values);
        cluster.over(true, q.askedAt);
    }

    @Override
    public void reject(Query query, Duration comeBack) {
        cluster.checker.rejected(cluster.now(), open.remove(query).id);
    }

    @Override
    public void abort(Query query) {
        cluster.checker.failed(cluster.now(), open.remove(query).id);
    }

    @Override
    public void wakeAfter(Duration wait) {
        cluster.after(
                wait,
                () -> {
                    policy.onWakeUp(cluster.now());
                    turnEnded();
                });
    }

    @Override
    public void probe(DataNode node) {
        SimulatedDataNode probed = cluster.node(registry.nameOf(node));
        cluster.after(
                Duration.ofMillis(4),
                () -> {
                    policy.onProbeResult(
                            cluster.now(),
                            node,
                            probed.readiness != postbeam.model.Readiness.REMOVED);
                    turnEnded();
                });
    }

    @Override
    public void log(String text) {
        // The simulation writes no log.
    }
}
