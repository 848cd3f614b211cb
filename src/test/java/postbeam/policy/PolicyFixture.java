package postbeam.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import postbeam.model.Attempt;
import postbeam.model.Cluster;
import postbeam.model.DataNode;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.Readiness;
import postbeam.model.ShardRequest;
import postbeam.model.SideEffects;
import postbeam.model.Zone;

/**
 * A router with a few sound nodes, each holding every shard, and a host that remembers what it was
 * told.
 */
final class PolicyFixture implements PolicyActions {
    static final Duration SLO = Duration.ofSeconds(2);
    static final Duration DEADLINE = Duration.ofSeconds(6);

    final List<Attempt> sent = new ArrayList<>();
    final List<Attempt> cancelled = new ArrayList<>();
    final List<String> ended = new ArrayList<>();
    final List<DataNode> nodes = new ArrayList<>();
    final List<DataNode> probed = new ArrayList<>();
    final Zone zone = new Zone(true);
    final RoutingPolicy policy;

    PolicyFixture(int nodeCount, boolean mayDuplicate) {
        this(nodeCount, mayDuplicate, 16);
    }

    PolicyFixture(int nodeCount, boolean mayDuplicate, int partsACall) {
        this(nodeCount, mayDuplicate, partsACall, 1);
    }

    /** With more than one cell, each shard has the nodes of its own alone. */
    PolicyFixture(int nodeCount, boolean mayDuplicate, int partsACall, int cells) {
        policy =
                new RoutingPolicy(
                        this,
                        new Random(1),
                        new Cluster(cells, 1),
                        new RoutingPolicy.AdmissionControl(100, 1, 0.1, null),
                        new RoutingPolicy.AttemptLimits(3, mayDuplicate, true, true, partsACall),
                        new RoutingPolicy.RetryBudget(null, null, null),
                        new RoutingPolicy.SlowStart(
                                0.2, ms(10_000), 2.0, ms(1000), 1, ms(20), ms(250)));
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new DataNode(i % cells, zone));
            policy.onNodeUpdate(ms(0), nodes.get(i), Readiness.READY, null);
        }
    }

    static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    static QueryClass vertical(SideEffects effect, double need) {
        return new QueryClass(SLO, effect, ms(3000), 1, 0.1, need, need, 0.9);
    }

    /** A query that has arrived with so many parts of equal weight. */
    Query query(Duration now, QueryClass queryClass, int parts) {
        Query query = new Query(queryClass, null, now, now.plus(DEADLINE));
        policy.onQuery(now, query);
        for (int i = 0; i < parts; i++) {
            policy.onShardRequest(now, new ShardRequest(query, i, 1.0 / parts, null));
        }
        return query;
    }

    /** The same at the start, once its turn has ended. */
    Query begun(QueryClass queryClass, int parts) {
        Query query = query(ms(0), queryClass, parts);
        policy.onBatchEnd(ms(0));
        return query;
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
    public void answer(Query query, boolean whole) {
        ended.add(whole ? "whole" : "partial");
    }

    @Override
    public void reject(Query query, Duration comeBack) {
        ended.add("rejected");
    }

    @Override
    public void abort(Query query) {
        ended.add("aborted");
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
