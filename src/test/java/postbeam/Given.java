package postbeam;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import postbeam.state.DataNode;
import postbeam.state.Effect;
import postbeam.state.Fleet;
import postbeam.state.LeafCall;
import postbeam.state.Part;
import postbeam.state.Query;
import postbeam.state.Readiness;
import postbeam.state.Vertical;
import postbeam.state.Zone;

/**
 * A router with a few sound nodes, each holding every shard, and a host that remembers what it was
 * told.
 */
final class Given implements Host {
    static final Duration SLO = Duration.ofSeconds(2);
    static final Duration DEADLINE = Duration.ofSeconds(6);

    final List<LeafCall> sent = new ArrayList<>();
    final List<LeafCall> cancelled = new ArrayList<>();
    final List<String> ended = new ArrayList<>();
    final List<DataNode> nodes = new ArrayList<>();
    final List<DataNode> probed = new ArrayList<>();
    final Zone zone = new Zone(true);
    final Decide decide;

    Given(int nodeCount, boolean mayDuplicate) {
        this(nodeCount, mayDuplicate, 16);
    }

    Given(int nodeCount, boolean mayDuplicate, int partsACall) {
        this(nodeCount, mayDuplicate, partsACall, 1);
    }

    /** With more than one cell, each shard has the nodes of its own alone. */
    Given(int nodeCount, boolean mayDuplicate, int partsACall, int cells) {
        decide =
                new Decide(
                        this,
                        new Random(1),
                        new Fleet(cells, 1),
                        new Decide.Held(100, 1, 0.1, null),
                        new Decide.Calls(3, mayDuplicate, true, true, partsACall),
                        new Decide.FurtherCalls(null, null, null),
                        new Decide.ColdPacing(0.2, ms(10_000), 2.0, ms(1000), 1, ms(20), ms(250)));
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new DataNode(i % cells, zone));
            decide.nodeListed(ms(0), nodes.get(i), Readiness.READY, null);
        }
    }

    static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    static Vertical vertical(Effect effect, double need) {
        return new Vertical(SLO, effect, ms(3000), 1, 0.1, need, need, 0.9);
    }

    /** A query that has arrived with so many parts of equal weight. */
    Query query(Duration now, Vertical vertical, int parts) {
        Query q = new Query(vertical, null, now, now.plus(DEADLINE));
        decide.queryArrived(now, q);
        for (int i = 0; i < parts; i++) {
            decide.partArrived(now, new Part(q, i, 1.0 / parts, null));
        }
        return q;
    }

    /** The same at the start, once its turn has ended. */
    Query begun(Vertical vertical, int parts) {
        Query q = query(ms(0), vertical, parts);
        decide.turnEnded(ms(0));
        return q;
    }

    @Override
    public void send(LeafCall call) {
        sent.add(call);
    }

    @Override
    public void cancel(LeafCall call) {
        cancelled.add(call);
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
