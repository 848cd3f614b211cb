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
 * Simulates query routers, data nodes, clients and the coordinator of moves in one thread on a
 * simulated clock; the seed decides every random choice. The decisions are those of the production
 * code; nodes, network and clients are simulated. It serves to find rare interleavings: responses
 * that cross a split or merge, moves abandoned half way, a coordinator that crashes at any log
 * record.
 */
public final class SimulatedCluster {
    /**
     * The size, length and faults of a run.
     *
     * @param replicas replicas of each slice
     * @param layoutChangeInterval the mean interval between layout changes
     * @param defect null for none
     */
    public record Plan(
            int nodes,
            int routers,
            int slices,
            int replicas,
            Duration length,
            double queriesPerSecond,
            Duration layoutChangeInterval,
            boolean faults,
            DefectiveSlicing.Defect defect) {}

    private static final Duration SLO = Duration.ofSeconds(1);
    private static final Duration QUERY_DEADLINE = Duration.ofSeconds(3);
    static final Duration DEDUPLICATION_WINDOW = Duration.ofMillis(1500);

    /** The span after the load in which open queries end and moves settle. */
    private static final Duration SETTLE_SPAN = Duration.ofSeconds(40);

    /** The shortest delay of a message; the longest is twice as much. */
    private static final Duration HOP_DELAY = Duration.ofMillis(1);

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
                    DEDUPLICATION_WINDOW);

    /**
     * Searches that need 75 % of the weight, lookups that need every shard request but accept half
     * of the weight as a partial answer, deduplicated bookings, and holds that may run only once.
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
     * A kind of query that clients send.
     *
     * @param promise the side effects that the invariant checker allows
     * @param need the weight of answers that a complete answer needs
     * @param floor the weight below which a partial answer is a failure
     */
    public record Kind(
            String name,
            SideEffects effect,
            InvariantChecker.Kind promise,
            double need,
            double floor) {
        QueryClass queryClass() {
            return QueryClass.builder(SLO, effect)
                    .deduplicationWindow(DEDUPLICATION_WINDOW)
                    .utility(1, 0.1)
                    .weights(need, floor)
                    .partialUtility(0.9)
                    .build();
        }
    }

    private record Event(Duration at, long number, Runnable action) {}

    final Plan plan;
    final UniformRandomProvider random;
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

    /** Prepares a run in which the seed decides every random choice. */
    public SimulatedCluster(Plan plan, long seed) {
        this.plan = plan;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int i = 0; i < plan.nodes(); i++) {
            nodes.add(new SimulatedDataNode(this, "n" + i, "z" + i % 3));
        }
        moves =
                new SimulatedMoveCoordinator(
                        this,
                        Layout.initial(
                                plan.slices(),
                                nodes.stream().map(node -> node.name).toList(),
                                plan.replicas()));
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

    /** Returns the kinds of queries that clients send. */
    public static List<Kind> kinds() {
        return KINDS;
    }

    // ---- the clock

    Duration now() {
        return now;
    }

    void after(Duration wait, Runnable action) {
        events.add(new Event(now.plus(wait), eventCount++, action));
    }

    /** Runs the action after the delay of one message. */
    void afterHop(Runnable action) {
        after(HOP_DELAY.plusNanos((long) (random.nextDouble() * HOP_DELAY.toNanos())), action);
    }

    Duration randomDuration(Duration max) {
        return Duration.ofNanos((long) (random.nextDouble() * max.toNanos()));
    }

    boolean withProbability(double probability) {
        return random.nextDouble() < probability;
    }

    /** Whether faults are injected: only while there is load. */
    boolean faultsActive() {
        return faultsActive;
    }

    // ---- the run

    /**
     * Runs the simulation with the coordinator of moves down for this time, from two seconds after
     * the start.
     */
    public List<String> runWithoutMoves(Duration downtime) {
        after(Duration.ofSeconds(2), () -> moves.crash(downtime));
        return run();
    }

    /** Runs the simulation. Returns the violations, one per line; empty if all rules were kept. */
    public List<String> run() {
        faultsActive = plan.faults();
        publishNodeList();
        moves.start();
        after(Duration.ofMillis(300), this::nextQuery);
        after(plan.layoutChangeInterval(), this::changeNextLayout);
        if (faultsActive) {
            after(randomDuration(Duration.ofSeconds(2)), this::injectNextFault);
        }
        Duration end = plan.length().plus(SETTLE_SPAN);
        boolean faultsEnded = false;
        while (!events.isEmpty() && events.peek().at().compareTo(end) < 0) {
            Event next = events.poll();
            now = next.at();
            if (!faultsEnded && now.compareTo(plan.length()) > 0) {
                faultsEnded = true;
                endFaults();
            }
            next.action().run();
            if (!checker.violations().isEmpty()) {
                return checker.violations();
            }
        }
        now = end;
        checker.end(now);
        List<String> found = new ArrayList<>(checker.violations());
        found.addAll(moves.unsettled());
        for (SimulatedQueryRouter router : routers) {
            found.addAll(router.unfinished());
        }
        return found;
    }

    /** Stops the injection of faults and ends those that last. */
    private void endFaults() {
        faultsActive = false;
        nodes.forEach(SimulatedDataNode::recover);
        moves.recover();
        publishNodeList();
    }

    /** Returns the number of queries sent. */
    public int queriesSent() {
        return queriesSent;
    }

    /** Returns the number of queries answered within their SLO. */
    public int answeredInTime() {
        return answeredInTime;
    }

    // ---- node list

    /** Sends the node list to all routers and the coordinator of moves, each with its own delay. */
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
        routers.forEach(router -> afterHop(() -> router.onNodeList(version, entries)));
        afterHop(() -> moves.onNodeList(version, entries));
    }

    // ---- layouts

    void publishLayout(Layout layout) {
        publishedLayouts.add(layout);
        checker.onLayout(layout);
        for (SimulatedQueryRouter router : routers) {
            Duration delay =
                    withProbability(0.1)
                            ? randomDuration(Duration.ofSeconds(2))
                            : randomDuration(Duration.ofMillis(40));
            after(delay, () -> router.onLayout(layout));
            if (publishedLayouts.size() > 2 && withProbability(0.1)) {
                Layout old = publishedLayouts.get(random.nextInt(publishedLayouts.size() - 1));
                after(
                        delay.plus(randomDuration(Duration.ofSeconds(1))),
                        () -> router.onLayout(old));
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
                        (long)
                                (-Math.log(1 - random.nextDouble())
                                        / plan.queriesPerSecond()
                                        * 1e9)),
                this::nextQuery);
        SimulatedQueryRouter router = routers.get(random.nextInt(routers.size()));
        Kind kind = KINDS.get(random.nextInt(KINDS.size()));
        int versionsBehind = withProbability(0.4) ? 0 : random.nextInt(8);
        Layout layout =
                publishedLayouts.get(Math.max(0, publishedLayouts.size() - 1 - versionsBehind));
        List<Slice> slices = layout.slices();
        int first = random.nextInt(slices.size());
        int count = Math.min(slices.size() - first, 1 + random.nextInt(8));
        // Some queries leave out a slice in the middle, so that a neighbour of a requested slice is
        // not requested.
        List<Slice> chosen = new ArrayList<>(slices.subList(first, first + count));
        if (chosen.size() > 2 && withProbability(0.3)) {
            chosen.remove(1 + random.nextInt(chosen.size() - 2));
        }
        Map<Slice, Double> weights = new LinkedHashMap<>();
        chosen.forEach(slice -> weights.put(slice, 0.2 + random.nextDouble()));
        double sum = weights.values().stream().mapToDouble(Double::doubleValue).sum();
        List<InvariantChecker.RequestedSlice> requested =
                weights.entrySet().stream()
                        .map(
                                entry ->
                                        new InvariantChecker.RequestedSlice(
                                                entry.getKey().number(),
                                                entry.getKey().keys(),
                                                entry.getValue() / sum))
                        .toList();
        String id = router.name + "q" + queriesSent++;
        Duration deadline = now.plus(QUERY_DEADLINE);
        checker.querySent(
                now,
                id,
                router.name,
                kind.promise(),
                kind.need(),
                kind.floor(),
                layout.version,
                requested,
                deadline);
        afterHop(() -> router.onQuery(id, kind, layout.version, requested, deadline));
    }

    /** Counts a query that has ended for its client, if it was answered within its SLO. */
    void onQueryEnded(boolean answered, Duration sentAt) {
        answeredInTime += answered && now.minus(sentAt).compareTo(SLO) <= 0 ? 1 : 0;
    }

    // ---- layout changes and faults

    private void changeNextLayout() {
        if (now.compareTo(plan.length()) > 0) {
            return;
        }
        after(randomDuration(plan.layoutChangeInterval().multipliedBy(2)), this::changeNextLayout);
        moves.changeLayout();
    }

    private void injectNextFault() {
        if (!faultsActive) {
            return;
        }
        after(randomDuration(Duration.ofSeconds(3)), this::injectNextFault);
        SimulatedDataNode node = nodes.get(random.nextInt(nodes.size()));
        switch (random.nextInt(7)) {
            case 0 ->
                    node.crash(
                            withProbability(0.2)
                                    ? Duration.ofSeconds(4)
                                            .plus(randomDuration(Duration.ofSeconds(8)))
                                    : randomDuration(Duration.ofSeconds(3)));
            case 1 -> node.slow(1 + random.nextInt(30), randomDuration(Duration.ofSeconds(2)));
            case 2 -> node.hang(randomDuration(Duration.ofSeconds(2)));
            case 3 -> node.drain(randomDuration(Duration.ofSeconds(4)));
            case 4 -> moves.crash(randomDuration(Duration.ofSeconds(3)));
            case 5 ->
                    moves.crashAfterRecords(
                            1 + random.nextInt(6), randomDuration(Duration.ofMillis(800)));
            default -> moves.abandonRandomMove();
        }
    }

    /** Returns a random key of the range, other than its first. */
    long randomKey(KeyRange keys) {
        return keys.from() + 1 + (long) (random.nextDouble() * (keys.size() - 1));
    }

    SimulatedDataNode node(String name) {
        return nodes.stream().filter(node -> node.name.equals(name)).findFirst().orElse(null);
    }

    /** Returns the names of the nodes that are ready. */
    List<String> ready() {
        return nodes.stream()
                .filter(node -> node.readiness == Readiness.READY)
                .map(node -> node.name)
                .toList();
    }
}
