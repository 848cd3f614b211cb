package postbeam.rig;

import java.time.Duration;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import postbeam.Decide;
import postbeam.Host;
import postbeam.roster.Entry;
import postbeam.roster.Roster;
import postbeam.slices.Asking;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.Piece;
import postbeam.slices.Pin;
import postbeam.slices.Slicing;
import postbeam.slices.Unroutable;
import postbeam.state.DataNode;
import postbeam.state.Effect;
import postbeam.state.Fleet;
import postbeam.state.LeafCall;
import postbeam.state.Outcome;
import postbeam.state.Part;
import postbeam.state.Query;
import postbeam.state.Vertical;

/** The product's decisions and slicing behind a door of the jumping clock. */
final class VirtualRouter implements Host {
    /** Hears how a call ended. */
    interface Ended {
        void ended(Outcome outcome, String value);
    }

    private static final class Open {
        final String id;
        final Duration askedAt;
        final Query query;
        final Map<Part, String> values = new IdentityHashMap<>();

        Open(String id, Duration askedAt, Query query) {
            this.id = id;
            this.askedAt = askedAt;
            this.query = query;
        }
    }

    final String name;
    private final World world;
    private final Slicing slicing;
    private final Roster roster;
    private final Decide decide;
    private final Map<String, Vertical> verticals = new LinkedHashMap<>();
    private final Map<Query, Open> open = new IdentityHashMap<>();
    private final Map<LeafCall, Boolean> out = new IdentityHashMap<>();
    private final List<LeafCall> calledOff = new ArrayList<>();
    private long listVersion;

    VirtualRouter(World world, String name, String zone, Slicing slicing, long seed) {
        this.world = world;
        this.name = name;
        this.slicing = slicing;
        this.roster = new Roster(zone);
        World.kinds().forEach(kind -> verticals.put(kind.name(), kind.vertical()));
        slicing.holders().know(roster::name, at -> at);
        Referee.Rules rules = World.rules();
        decide =
                new Decide(
                        this,
                        new Random(seed),
                        new Fleet(slicing.holders()),
                        new Decide.Held(400, world.plan.routers(), null, Duration.ofMillis(500)),
                        new Decide.Calls(3, true, true, true, 16),
                        new Decide.FurtherCalls(
                                rules.freeFurther(), rules.furtherShare(), rules.furtherSpan()),
                        new Decide.ColdPacing(
                                rules.coldFrom(),
                                rules.ramp(),
                                rules.fallMultiple(),
                                rules.fall(),
                                world.plan.routers(),
                                Duration.ofMillis(1),
                                null));
    }

    // ---- what happens

    /** Lists come in order, as over one connection: one that was overtaken is not heard. */
    void listed(long version, List<Entry> entries) {
        if (version < listVersion) {
            return;
        }
        listVersion = version;
        roster.listed(
                world.now(), entries, true, micros -> Duration.ofNanos(micros * 1000), decide);
        turnEnded();
    }

    void laidOut(Layout layout) {
        if (slicing.told(layout)) {
            open.keySet().forEach(slicing::recut);
        }
        turnEnded();
    }

    void take(
            String id, World.Kind kind, long version, List<Referee.Wanted> wanted, Duration until) {
        Duration now = world.now();
        Query query = new Query(verticals.get(kind.name()), null, now, until);
        try {
            slicing.take(
                    query,
                    version,
                    wanted.stream()
                            .map(one -> new Asking(one.slice(), one.weight(), null))
                            .toList());
        } catch (Unroutable e) {
            world.referee.rejected(now, id);
            return;
        }
        open.put(query, new Open(id, now, query));
        decide.queryArrived(now, query);
        query.parts.forEach(part -> decide.partArrived(now, part));
        turnEnded();
    }

    private void turnEnded() {
        while (true) {
            decide.turnEnded(world.now());
            if (calledOff.isEmpty()) {
                return;
            }
            List<LeafCall> over = List.copyOf(calledOff);
            calledOff.clear();
            over.forEach(call -> ended(call, Outcome.CANCELLED, null));
        }
    }

    private void ended(LeafCall call, Outcome outcome, String value) {
        if (out.remove(call) == null) {
            return;
        }
        Open q = open.get(call.part.query);
        if (q != null && outcome == Outcome.MERGED) {
            q.values.putIfAbsent(call.part, value);
        }
        decide.leafCallEnded(
                world.now(),
                call,
                outcome,
                world.now().minus(call.sentAt),
                call.part.query.hasEnded());
        if (outcome == Outcome.MOVED) {
            slicing.left(call.part, call.node);
            world.after(
                    Slicing.LEFT_FOR,
                    () -> {
                        slicing.forgiven(call.part.shard, call.node);
                        turnEnded();
                    });
        }
        if (q != null) {
            slicing.recut(call.part.query);
        }
    }

    /** Queries and calls that nothing will end any more. */
    List<String> leftOver() {
        List<String> left = new ArrayList<>();
        open.values().forEach(q -> left.add("rule 1, query " + q.id + ": still open at the end"));
        if (!out.isEmpty()) {
            left.add("router " + name + " still waits for " + out.size() + " calls");
        }
        return left;
    }

    // ---- what is decided

    @Override
    public void send(LeafCall call) {
        out.put(call, true);
        Piece piece = (Piece) call.part;
        String query = open.get(piece.query).id;
        VirtualNode node = world.node(roster.name(call.node));
        long version = slicing.held().version;
        String part =
                query
                        + "."
                        + piece.shard
                        + "-"
                        + Long.toHexString(piece.keys.from())
                        + "#"
                        + call.number;
        KeyRange keys = piece.keys;
        boolean dropped = piece.query.queryClass().effect == Effect.DEDUPLICATED;
        world.hop(
                () ->
                        node.called(
                                query,
                                part,
                                piece.shard,
                                keys,
                                version,
                                dropped,
                                (outcome, value) -> {
                                    ended(call, outcome, value);
                                    turnEnded();
                                }));
        Duration until = piece.query.deadline;
        if (call.timeout != null && call.sentAt.plus(call.timeout).compareTo(until) < 0) {
            until = call.sentAt.plus(call.timeout);
        }
        world.after(
                until.minus(world.now()),
                () -> {
                    if (out.containsKey(call)) {
                        ended(call, Outcome.TIMEOUT, null);
                        turnEnded();
                    }
                });
    }

    @Override
    public void cancel(LeafCall call) {
        if (out.containsKey(call)) {
            calledOff.add(call);
        }
    }

    @Override
    public void answer(Query query, boolean whole) {
        Open q = open.remove(query);
        Pin.Counted counted = slicing.pinOf(query).counted(query);
        List<Referee.Value> values =
                counted.pieces().stream()
                        .map(piece -> new Referee.Value(piece.keys, q.values.get(piece)))
                        .toList();
        world.referee.answered(world.now(), q.id, whole, counted.version(), values);
        world.over(true, q.askedAt);
    }

    @Override
    public void reject(Query query, Duration comeBack) {
        world.referee.rejected(world.now(), open.remove(query).id);
    }

    @Override
    public void abort(Query query) {
        world.referee.failed(world.now(), open.remove(query).id);
    }

    @Override
    public void wakeAfter(Duration wait) {
        world.after(
                wait,
                () -> {
                    decide.woken(world.now());
                    turnEnded();
                });
    }

    @Override
    public void probe(DataNode node) {
        VirtualNode probed = world.node(roster.name(node));
        world.after(
                Duration.ofMillis(4),
                () -> {
                    decide.probed(
                            world.now(), node, probed.readiness != postbeam.state.Readiness.GONE);
                    turnEnded();
                });
    }

    @Override
    public void log(String text) {
        // Nothing is logged in a trial.
    }
}
