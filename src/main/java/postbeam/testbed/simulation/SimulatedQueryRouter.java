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
    interface AttemptListener {
        void onEnded(AttemptOutcome outcome, String value);
    }

    private static final class OpenQuery {
        final String id;
        final Duration sentAt;
        final IdentityHashMap<ShardRequest, String> values = new IdentityHashMap<>();

        OpenQuery(String id, Duration sentAt) {
            this.id = id;
            this.sentAt = sentAt;
        }
    }

    final String name;
    private final SimulatedCluster cluster;
    private final SliceTranslator translator;
    private final EndpointRegistry registry;
    private final RoutingPolicy policy;
    private final Map<String, QueryClass> queryClasses = new LinkedHashMap<>();
    private final IdentityHashMap<Query, OpenQuery> openQueries = new IdentityHashMap<>();
    private final IdentityHashMap<Attempt, Boolean> openAttempts = new IdentityHashMap<>();
    private final List<Attempt> cancelledAttempts = new ArrayList<>();
    private long listVersion;

    SimulatedQueryRouter(
            SimulatedCluster cluster,
            String name,
            String zone,
            SliceTranslator translator,
            long seed) {
        this.cluster = cluster;
        this.name = name;
        this.translator = translator;
        this.registry = new EndpointRegistry(zone);
        SimulatedCluster.kinds().forEach(kind -> queryClasses.put(kind.name(), kind.queryClass()));
        translator.placement().configure(registry::nameOf, at -> at);
        InvariantChecker.Rules rules = SimulatedCluster.rules();
        policy =
                new RoutingPolicy(
                        this,
                        new Random(seed),
                        new Cluster(translator.placement()),
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
    void onNodeList(long version, List<Endpoint> entries) {
        if (version < listVersion) {
            return;
        }
        listVersion = version;
        registry.update(
                cluster.now(), entries, true, micros -> Duration.ofNanos(micros * 1000), policy);
        endBatch();
    }

    void onLayout(Layout layout) {
        if (translator.onUpdate(layout)) {
            openQueries.keySet().forEach(translator::remapStaleRequests);
        }
        endBatch();
    }

    void onQuery(
            String id,
            SimulatedCluster.Kind kind,
            long version,
            List<InvariantChecker.RequestedSlice> requested,
            Duration deadline) {
        Duration now = cluster.now();
        Query query = new Query(queryClasses.get(kind.name()), null, now, deadline);
        try {
            translator.assignShardRequests(
                    query,
                    version,
                    requested.stream()
                            .map(slice -> new SliceRequest(slice.slice(), slice.weight(), null))
                            .toList());
        } catch (UnroutableQueryException e) {
            cluster.checker.rejected(now, id);
            return;
        }
        openQueries.put(query, new OpenQuery(id, now));
        policy.onQuery(now, query);
        query.shardRequests.forEach(request -> policy.onShardRequest(now, request));
        endBatch();
    }

    private void endBatch() {
        while (true) {
            policy.onBatchEnd(cluster.now());
            if (cancelledAttempts.isEmpty()) {
                return;
            }
            List<Attempt> cancelled = List.copyOf(cancelledAttempts);
            cancelledAttempts.clear();
            cancelled.forEach(attempt -> onAttemptEnded(attempt, AttemptOutcome.CANCELLED, null));
        }
    }

    private void onAttemptEnded(Attempt attempt, AttemptOutcome outcome, String value) {
        if (openAttempts.remove(attempt) == null) {
            return;
        }
        OpenQuery openQuery = openQueries.get(attempt.shardRequest.query);
        if (openQuery != null && outcome == AttemptOutcome.SUCCESS) {
            openQuery.values.putIfAbsent(attempt.shardRequest, value);
        }
        policy.onAttemptEnded(
                cluster.now(),
                attempt,
                outcome,
                cluster.now().minus(attempt.sentAt),
                attempt.shardRequest.query.hasEnded());
        if (outcome == AttemptOutcome.MOVED) {
            translator.excludeReplica(attempt.shardRequest, attempt.node);
            cluster.after(
                    SliceTranslator.EXCLUSION_TIME,
                    () -> {
                        translator.readmitReplica(attempt.shardRequest.shard, attempt.node);
                        endBatch();
                    });
        }
        if (openQuery != null) {
            translator.remapStaleRequests(attempt.shardRequest.query);
        }
    }

    /** Returns the queries and attempts that are still open at the end of the run, one per line. */
    List<String> unfinished() {
        List<String> unfinished = new ArrayList<>();
        openQueries
                .values()
                .forEach(
                        openQuery ->
                                unfinished.add(
                                        "rule 1, query "
                                                + openQuery.id
                                                + ": still open at the end"));
        if (!openAttempts.isEmpty()) {
            unfinished.add(
                    "router " + name + " still has " + openAttempts.size() + " attempts in flight");
        }
        return unfinished;
    }

    // ---- actions of the policy

    @Override
    public void send(Attempt attempt) {
        openAttempts.put(attempt, true);
        KeyRangeRequest request = (KeyRangeRequest) attempt.shardRequest;
        String query = openQueries.get(request.query).id;
        SimulatedDataNode node = cluster.node(registry.nameOf(attempt.node));
        long version = translator.currentLayout().version;
        String attemptId =
                query
                        + "."
                        + request.shard
                        + "-"
                        + Long.toHexString(request.keys.from())
                        + "#"
                        + attempt.index;
        KeyRange keys = request.keys;
        boolean deduplicated = request.query.queryClass().sideEffects == SideEffects.DEDUPLICATED;
        cluster.afterHop(
                () ->
                        node.onAttempt(
                                query,
                                attemptId,
                                request.shard,
                                keys,
                                version,
                                deduplicated,
                                (outcome, value) -> {
                                    onAttemptEnded(attempt, outcome, value);
                                    endBatch();
                                }));
        Duration timeoutAt = request.query.deadline;
        if (attempt.timeout != null
                && attempt.sentAt.plus(attempt.timeout).compareTo(timeoutAt) < 0) {
            timeoutAt = attempt.sentAt.plus(attempt.timeout);
        }
        cluster.after(
                timeoutAt.minus(cluster.now()),
                () -> {
                    if (openAttempts.containsKey(attempt)) {
                        onAttemptEnded(attempt, AttemptOutcome.TIMEOUT, null);
                        endBatch();
                    }
                });
    }

    @Override
    public void cancel(Attempt attempt) {
        if (openAttempts.containsKey(attempt)) {
            cancelledAttempts.add(attempt);
        }
    }

    @Override
    public void answer(Query query, boolean complete) {
        OpenQuery openQuery = openQueries.remove(query);
        LayoutCompleteness.CompleteRequests completeRequests =
                translator.completenessOf(query).completeRequests(query);
        List<InvariantChecker.Value> values =
                completeRequests.requests().stream()
                        .map(
                                request ->
                                        new InvariantChecker.Value(
                                                request.keys, openQuery.values.get(request)))
                        .toList();
        cluster.checker.answered(
                cluster.now(), openQuery.id, complete, completeRequests.version(), values);
        cluster.onQueryEnded(true, openQuery.sentAt);
    }

    @Override
    public void reject(Query query, Duration retryAfter) {
        cluster.checker.rejected(cluster.now(), openQueries.remove(query).id);
    }

    @Override
    public void abort(Query query) {
        cluster.checker.failed(cluster.now(), openQueries.remove(query).id);
    }

    @Override
    public void wakeAfter(Duration wait) {
        cluster.after(
                wait,
                () -> {
                    policy.onWakeUp(cluster.now());
                    endBatch();
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
                    endBatch();
                });
    }

    @Override
    public void log(String text) {
        // The simulation writes no log.
    }
}
