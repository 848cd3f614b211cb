package postbeam.testbed.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import postbeam.endpoints.Endpoint;
import postbeam.model.QueryClass;
import postbeam.model.Readiness;
import postbeam.model.SideEffects;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.Slice;
import postbeam.testbed.verification.InvariantChecker;

/**
 * Routers, nodes, clients and the one who moves slices in one thread on a clock that jumps, every
 * choice from one seed. The decisions are the product's own; nodes, network and clients are
 * stand-ins. What it is for is rare meetings: answers that cross a re-cut, moves abandoned half
 * way, a coordinator that dies at any record.
 */
public final class SimulatedCluster {
    /** How large, how long and how rough. */
    public record Plan(
            int nodes,
            int routers,
            int slices,
            int holders,
            Duration length,
            double queriesASecond,
            Duration recutEvery,
            boolean faults,
            DefectiveSlicing.Defect defect) {}

    private static final Duration SLO = Duration.ofSeconds(1);
    private static final Duration PATIENCE = Duration.ofSeconds(3);
    static final Duration REPEAT_WINDOW = Duration.ofMillis(1500);

    /** After the load, for what is open to end and moves to come to rest. */
    private static final Duration SETTLE = Duration.ofSeconds(40);

    /** The ways that messages take: mostly this and up to twice it. */
    private static final Duration HOP = Duration.ofMillis(1);

    private static final InvariantChecker.Rules RULES =
            new InvariantChecker.Rules(
                    0.2,
                    Duration.ofSeconds(4),
                    2,
                    Duration.ofSeconds(1),
                    2,
                    20,
                    0.3,
                    Duration.ofSeconds(2),
                    REPEAT_WINDOW);

    /**
     * Any-n searches with a floor, lookups that need every part, keyed bookings, and holds that may
     * run once.
     */
    private static final List<Kind> KINDS =
            List.of(
                    new Kind(
                            "search",
                            SideEffects.IDEMPOTENT,
                            InvariantChecker.Kind.REPEATABLE,
                            0.75,
                            0.75),
                    new Kind(
                            "lookup",
                            SideEffects.IDEMPOTENT,
                            InvariantChecker.Kind.REPEATABLE,
                            1,
                            0.5),
                    new Kind(
                            "book",
                            SideEffects.DEDUPLICATED,
                            InvariantChecker.Kind.DEDUPLICATED,
                            1,
                            1),
                    new Kind(
                            "hold",
                            SideEffects.NON_IDEMPOTENT,
                            InvariantChecker.Kind.SIDE_EFFECTING,
                            1,
                            1));

    /**
     * A kind of queries that clients send.
     *
     * @param need the weight of answers that a query needs
     * @param floor the weight below which a partial answer is none
     */
    public record Kind(
            String name,
            SideEffects effect,
            InvariantChecker.Kind promise,
            double need,
            double floor) {
        QueryClass vertical() {
            return QueryClass.builder(SLO, effect)
                    .deduplicationWindow(REPEAT_WINDOW)
                    .utility(1, 0.1)
                    .weights(need, floor)
                    .partialUtility(0.9)
                    .build();
        }
    }

    private record Event(Duration at, long number, Runnable what) {}

    final Plan plan;
    final UniformRandomProvider chance;
    public final InvariantChecker checker =
            new InvariantChecker(RULES, Duration.ofMillis(500), Duration.ofMillis(60));
    final List<SimulatedDataNode> nodes = new ArrayList<>();
    final List<SimulatedQueryRouter> routers = new ArrayList<>();
    public final SimulatedMoveCoordinator moves;
    public final List<Layout> publishedLayouts = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparingLong(Event::number));
    private long eventCount;
    private long listVersion;
    private Duration now = Duration.ZERO;
    private boolean faultsActive;
    private int queriesSent;
    private int answeredInTime;

    /** Prepares a run, in which the seed decides every choice. */
    public SimulatedCluster(Plan plan, long seed) {
        this.plan = plan;
        this.chance = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int i = 0; i < plan.nodes(); i++) {
            nodes.add(new SimulatedDataNode(this, "n" + i, "z" + i % 3));
        }
        moves =
                new SimulatedMoveCoordinator(
                        this,
                        Layout.initial(
                                plan.slices(),
                                nodes.stream().map(node -> node.name).toList(),
                                plan.holders()));
        for (int i = 0; i < plan.routers(); i++) {
            routers.add(
                    new SimulatedQueryRouter(
                            this,
                            "r" + i,
                            "z" + i % 3,
                            DefectiveSlicing.of(plan.defect()),
                            seed * 31 + i));
        }
    }

    static InvariantChecker.Rules rules() {
        return RULES;
    }

    /** The kinds of queries that clients send. */
    public static List<Kind> kinds() {
        return KINDS;
    }

    // ---- the clock

    Duration now() {
        return now;
    }

    void after(Duration wait, Runnable what) {
        events.add(new Event(now.plus(wait), eventCount++, what));
    }

    /** A message's way, and then this. */
    void hop(Runnable what) {
        after(HOP.plusNanos((long) (chance.nextDouble() * HOP.toNanos())), what);
    }

    Duration upTo(Duration most) {
        return Duration.ofNanos((long) (chance.nextDouble() * most.toNanos()));
    }

    boolean with(double probability) {
        return chance.nextDouble() < probability;
    }

    /** Troubles come while the load does. */
    boolean faultsActive() {
        return faultsActive;
    }

    // ---- the run

    /** The same with the one who moves slices away for so long, from soon after the start. */
    public List<String> runWithoutMoves(Duration away) {
        after(Duration.ofSeconds(2), () -> moves.crash(away));
        return run();
    }

    /** What was found, a line each; empty where all rules held. */
    public List<String> run() {
        faultsActive = plan.faults();
        publishNodeList();
        moves.start();
        after(Duration.ofMillis(300), this::nextQuery);
        after(plan.recutEvery(), this::nextRecut);
        if (faultsActive) {
            after(upTo(Duration.ofSeconds(2)), this::nextTrouble);
        }
        Duration end = plan.length().plus(SETTLE);
        boolean calm = false;
        while (!events.isEmpty() && events.peek().at().compareTo(end) < 0) {
            Event next = events.poll();
            now = next.at();
            if (!calm && now.compareTo(plan.length()) > 0) {
                calm = true;
                endFaults();
            }
            next.what().run();
            if (!checker.violations().isEmpty()) {
                return checker.violations();
            }
        }
        now = end;
        checker.end(now);
        List<String> found = new ArrayList<>(checker.violations());
        found.addAll(moves.unsettled());
        for (SimulatedQueryRouter router : routers) {
            found.addAll(router.leftOver());
        }
        return found;
    }

    /** No new trouble, and the old ones end. */
    private void endFaults() {
        faultsActive = false;
        nodes.forEach(SimulatedDataNode::recover);
        moves.recover();
        publishNodeList();
    }

    /** Queries sent. */
    public int queriesSent() {
        return queriesSent;
    }

    /** Queries answered in time. */
    public int answeredInTime() {
        return answeredInTime;
    }

    // ---- the list

    /** Tells all routers and the coordinator of the nodes, each on its own way. */
    void publishNodeList() {
        List<Endpoint> entries =
                nodes.stream()
                        .map(
                                node ->
                                        new Endpoint(
                                                node.name,
                                                node.zone,
                                                0,
                                                node.startedAt == null
                                                        ? 0
                                                        : Math.max(
                                                                1, node.startedAt.toNanos() / 1000),
                                                node.readiness))
                        .toList();
        long version = ++listVersion;
        routers.forEach(router -> hop(() -> router.listed(version, entries)));
        hop(() -> moves.listed(version, entries));
    }

    // ---- layouts

    void published(Layout layout) {
        publishedLayouts.add(layout);
        checker.onLayout(layout);
        for (SimulatedQueryRouter router : routers) {
            Duration late = with(0.1) ? upTo(Duration.ofSeconds(2)) : upTo(Duration.ofMillis(40));
            after(late, () -> router.laidOut(layout));
            if (publishedLayouts.size() > 2 && with(0.1)) {
                Layout old = publishedLayouts.get(chance.nextInt(publishedLayouts.size() - 1));
                after(late.plus(upTo(Duration.ofSeconds(1))), () -> router.laidOut(old));
            }
        }
    }

    // ---- clients

    private void nextQuery() {
        if (now.compareTo(plan.length()) > 0) {
            return;
        }
        after(
                Duration.ofNanos(
                        (long) (-Math.log(1 - chance.nextDouble()) / plan.queriesASecond() * 1e9)),
                this::nextQuery);
        SimulatedQueryRouter router = routers.get(chance.nextInt(routers.size()));
        Kind kind = KINDS.get(chance.nextInt(KINDS.size()));
        int back = with(0.4) ? 0 : chance.nextInt(8);
        Layout layout = publishedLayouts.get(Math.max(0, publishedLayouts.size() - 1 - back));
        List<Slice> slices = layout.slices();
        int first = chance.nextInt(slices.size());
        int count = Math.min(slices.size() - first, 1 + chance.nextInt(8));
        // Sometimes with a hole, so that neighbours of what is asked stay unasked.
        List<Slice> named = new ArrayList<>(slices.subList(first, first + count));
        if (named.size() > 2 && with(0.3)) {
            named.remove(1 + chance.nextInt(named.size() - 2));
        }
        Map<Slice, Double> weights = new LinkedHashMap<>();
        named.forEach(slice -> weights.put(slice, 0.2 + chance.nextDouble()));
        double sum = weights.values().stream().mapToDouble(Double::doubleValue).sum();
        List<InvariantChecker.RequestedSlice> wanted =
                weights.entrySet().stream()
                        .map(
                                entry ->
                                        new InvariantChecker.RequestedSlice(
                                                entry.getKey().number(),
                                                entry.getKey().keys(),
                                                entry.getValue() / sum))
                        .toList();
        String id = router.name + "q" + queriesSent++;
        Duration until = now.plus(PATIENCE);
        checker.querySent(
                now,
                id,
                router.name,
                kind.promise(),
                kind.need(),
                kind.floor(),
                layout.version,
                wanted,
                until);
        hop(() -> router.take(id, kind, layout.version, wanted, until));
    }

    /** A query is over for its client, in time for its SLO or not. */
    void over(boolean answered, Duration askedAt) {
        answeredInTime += answered && now.minus(askedAt).compareTo(SLO) <= 0 ? 1 : 0;
    }

    // ---- re-cuts and troubles

    private void nextRecut() {
        if (now.compareTo(plan.length()) > 0) {
            return;
        }
        after(upTo(plan.recutEvery().multipliedBy(2)), this::nextRecut);
        moves.recut();
    }

    private void nextTrouble() {
        if (!faultsActive) {
            return;
        }
        after(upTo(Duration.ofSeconds(3)), this::nextTrouble);
        SimulatedDataNode node = nodes.get(chance.nextInt(nodes.size()));
        switch (chance.nextInt(7)) {
            case 0 ->
                    node.crash(
                            with(0.2)
                                    ? Duration.ofSeconds(4).plus(upTo(Duration.ofSeconds(8)))
                                    : upTo(Duration.ofSeconds(3)));
            case 1 -> node.slow(1 + chance.nextInt(30), upTo(Duration.ofSeconds(2)));
            case 2 -> node.hang(upTo(Duration.ofSeconds(2)));
            case 3 -> node.drain(upTo(Duration.ofSeconds(4)));
            case 4 -> moves.crash(upTo(Duration.ofSeconds(3)));
            case 5 -> moves.crashAtARecord(1 + chance.nextInt(6), upTo(Duration.ofMillis(800)));
            default -> moves.abandonOne();
        }
    }

    /** A key somewhere in the middle of these. */
    long within(KeyRange keys) {
        return keys.from() + 1 + (long) (chance.nextDouble() * (keys.size() - 1));
    }

    SimulatedDataNode node(String name) {
        return nodes.stream().filter(node -> node.name.equals(name)).findFirst().orElse(null);
    }

    /** Nodes that are there and want work. */
    List<String> ready() {
        return nodes.stream()
                .filter(node -> node.readiness == Readiness.READY)
                .map(node -> node.name)
                .toList();
    }
}
