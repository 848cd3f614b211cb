package postbeam.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.model.Cluster;
import postbeam.model.DataNode;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.Readiness;
import postbeam.model.ShardRequest;
import postbeam.model.SideEffects;
import postbeam.model.Zone;

/** A policy with a few ready nodes, and a record of the actions that it has taken. */
final class PolicyFixture implements PolicyActions {
    static final Duration OBJECTIVE = Duration.ofSeconds(2);
    static final Duration DEADLINE = Duration.ofSeconds(6);

    final List<Attempt> sent = new ArrayList<>();
    final List<Attempt> cancelled = new ArrayList<>();
    final List<String> endings = new ArrayList<>();
    final List<DataNode> nodes = new ArrayList<>();
    final List<DataNode> probed = new ArrayList<>();
    final Zone zone = new Zone(true);
    final SlowStart slowStart = new SlowStart(0.2, ms(10_000), 2.0, ms(1000), 1, ms(20), ms(250));

    final RoutingPolicy policy;

    /** Creates a policy whose nodes hold every shard and whose calls carry several requests. */
    PolicyFixture(int nodeCount, boolean hedgingAllowed) {
        this(nodeCount, hedgingAllowed, 16);
    }

    /** Creates a policy whose nodes hold every shard. */
    PolicyFixture(int nodeCount, boolean hedgingAllowed, int requestsPerCall) {
        this(nodeCount, hedgingAllowed, requestsPerCall, 1);
    }

    /** Creates a policy in which each shard is held by the nodes of one cell. */
    PolicyFixture(int nodeCount, boolean hedgingAllowed, int requestsPerCall, int cells) {
        policy =
                new RoutingPolicy(
                        this,
                        new Random(1),
                        new Cluster(cells, 1),
                        new AdmissionControl(100, 1, 0.1, null),
                        new AttemptLimits(3, hedgingAllowed, true, true, requestsPerCall),
                        new RetryBudget(null, null, null),
                        slowStart);
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new DataNode(i % cells, zone));
            policy.onNodeUpdate(ms(0), nodes.get(i), Readiness.READY, null);
        }
    }

    static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    /**
     * Returns a class whose queries need this share of the weight both for a complete and for a
     * partial answer.
     */
    static QueryClass queryClass(SideEffects sideEffects, double requiredWeight) {
        return queryClass(sideEffects, requiredWeight, requiredWeight);
    }

    static QueryClass queryClass(
            SideEffects sideEffects, double requiredWeight, double minimumWeight) {
        return QueryClass.builder(OBJECTIVE, sideEffects)
                .deduplicationWindow(ms(3000))
                .utility(1, 0.1)
                .weights(requiredWeight, minimumWeight)
                .partialUtility(0.9)
                .build();
    }

    static QueryClass idempotent() {
        return queryClass(SideEffects.IDEMPOTENT, 1);
    }

    /**
     * Reports a query with this number of shard requests of equal weight, without ending the batch
     * of events.
     */
    Query arrive(Duration now, QueryClass queryClass, int requests) {
        Query query = new Query(queryClass, null, now, now.plus(DEADLINE));
        policy.onQuery(now, query);
        for (int i = 0; i < requests; i++) {
            policy.onShardRequest(now, new ShardRequest(query, i, 1.0 / requests, null));
        }
        return query;
    }

    /** Reports a query as {@link #arrive} does and ends the batch of events. */
    Query start(Duration now, QueryClass queryClass, int requests) {
        Query query = arrive(now, queryClass, requests);
        policy.onBatchEnd(now);
        return query;
    }

    /** Reports a query at time 0 and ends the batch of events. */
    Query start(QueryClass queryClass, int requests) {
        return start(ms(0), queryClass, requests);
    }

    /** Reports the outcome of an attempt, with the time since its sending as the latency. */
    void end(Duration now, Attempt attempt, AttemptOutcome outcome) {
        policy.onAttemptEnded(now, attempt, outcome, now.minus(attempt.sentAt), false);
    }

    Attempt lastSent() {
        return sent.get(sent.size() - 1);
    }

    @Override
    public void send(Attempt attempt) {
        sent.add(attempt);
    }

    @Override
    public void cancel(Attempt attempt) {
        cancelled.add(attempt);
    }

    @Override
    public void answer(Query query, boolean complete) {
        endings.add(complete ? "complete" : "partial");
    }

    @Override
    public void reject(Query query, Duration retryAfter) {
        endings.add("rejected");
    }

    @Override
    public void abort(Query query) {
        endings.add("aborted");
    }

    @Override
    public void wakeAfter(Duration wait) {}

    @Override
    public void probe(DataNode node) {
        probed.add(node);
    }

    @Override
    public void log(String text) {}
}
