package postbeam.testbed.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import postbeam.layoutservice.MoveRecordCodec;
import postbeam.migration.Migration;
import postbeam.migration.MigrationRecord;
import postbeam.migration.MigrationState;
import postbeam.migration.SliceTransfer;
import postbeam.slices.JournalRecord;
import postbeam.slices.Layout;
import postbeam.slices.Slice;
import postbeam.testbed.verification.TrialResult;

/**
 * Simulates the migrations of two members in one thread on a simulated clock: coordinators, data
 * nodes, routers that send holds, and an operator. The seed decides every random choice. The
 * simulation records which holds ran and checks the results against that.
 */
public final class MigrationSimulation {
    private static final int NODES = 7;
    private static final int SLICES = 6;
    private static final int HOLDERS = 3;
    static final Duration LOAD = Duration.ofSeconds(9);
    private static final Duration END = Duration.ofSeconds(40);
    private static final double LOST_MESSAGES = 0.03;
    private static final double SPOILT_COPIES = 0.03;

    /**
     * The number of log records that most runs write. The record after which the coordinator dies
     * cycles through them with the seed.
     */
    private static final int RECORDS = 90;

    private record Event(Duration at, long number, Runnable what) {}

    final UniformRandomProvider chance;
    final DefectiveMigration.Defect defect;
    final List<SimulatedMigrationNode> nodes = new ArrayList<>();
    final Set<String> gone = new LinkedHashSet<>();
    final List<SimulatedMigrationCoordinator.Stored> log = new ArrayList<>();
    Duration now = Duration.ZERO;
    int recordsLeft;
    int slipped;
    private final long seed;
    final boolean faults;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparingLong(Event::number));

    /** The slice of each move, by move id. */
    private final Map<Long, Integer> slicesOf = new HashMap<>();

    private final Map<Integer, Long> lastCut = new HashMap<>();
    private final List<String> broken = new ArrayList<>();
    public final Set<String> diedAt = new TreeSet<>();
    public final Map<String, Integer> seen = new TreeMap<>();
    final Layout first;
    final MigrationLoad load;
    private final List<List<SliceTransfer>> plans = new ArrayList<>();
    SimulatedMigrationCoordinator chief;
    private long eventCount;
    private long marks;
    private long turns;
    boolean calm;

    /**
     * Prepares a run in which the seed decides every random choice.
     *
     * @param defect null for none
     * @param faults whether processes die and messages are lost
     */
    public MigrationSimulation(long seed, DefectiveMigration.Defect defect, boolean faults) {
        this.seed = seed;
        this.defect = defect;
        this.faults = faults;
        this.calm = !faults;
        chance = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int i = 0; i < NODES; i++) {
            nodes.add(new SimulatedMigrationNode(this, "n" + i));
        }
        first = Layout.initial(SLICES, nodes.stream().map(node -> node.name).toList(), HOLDERS);
        for (Slice slice : first.slices()) {
            for (String node : slice.nodes()) {
                SimulatedMigrationNode.Copy copy =
                        new SimulatedMigrationNode.Copy(
                                slice.keys(), SimulatedMigrationNode.Standing.SERVING);
                copy.copied = true;
                node(node).copies.put(slice.number(), copy);
            }
        }
        log.add(
                new SimulatedMigrationCoordinator.Stored(
                        0,
                        MoveRecordCodec.write(
                                new JournalRecord.Snapshot(
                                        first, 1, 0, SLICES - 1, List.of(), null, List.of()))));
        load = new MigrationLoad(this);
        plans.add(List.of(hop(0), hop(1), hop(2)));
        plans.add(List.of(hop(3), hop(4)));
        recordsLeft = faults ? (int) (1 + seed % RECORDS) : 0;
    }

    private SliceTransfer hop(int slice) {
        List<String> held = first.slice(slice).nodes();
        List<String> others =
                nodes.stream().map(node -> node.name).filter(node -> !held.contains(node)).toList();
        return new SliceTransfer(
                slice,
                held.get(chance.nextInt(held.size())),
                others.get(chance.nextInt(others.size())));
    }

    // ---- the clock and chance

    void after(Duration wait, Runnable what) {
        events.add(new Event(now.plus(wait), eventCount++, what));
    }

    void hop(Runnable what) {
        after(Duration.ofMillis(1).plus(upTo(Duration.ofMillis(1))), what);
    }

    Duration upTo(Duration most) {
        return Duration.ofNanos((long) (chance.nextDouble() * most.toNanos()));
    }

    boolean with(double probability) {
        return chance.nextDouble() < probability;
    }

    /** Whether the next message between coordinator and node is lost. */
    boolean lost() {
        return !calm && with(LOST_MESSAGES);
    }

    long nextMark() {
        return ++marks;
    }

    long nextTurn() {
        return ++turns;
    }

    SimulatedMigrationNode node(String name) {
        return nodes.get(Integer.parseInt(name.substring(1)));
    }

    /** Removes a random row from a copy with a small probability, as a faulty copy would. */
    void spoil(SortedMap<Long, SimulatedMigrationNode.Row> rows) {
        if (!calm && !rows.isEmpty() && with(SPOILT_COPIES)) {
            rows.remove(new ArrayList<>(rows.keySet()).get(chance.nextInt(rows.size())));
            count("copies spoilt");
        }
    }

    void count(String what) {
        seen.merge(what, 1, Integer::sum);
    }

    void breaks(String what) {
        broken.add("at " + now.toMillis() + " ms: " + what);
    }

    // ---- the run

    /** Runs the simulation and checks its final state. */
    public TrialResult run() {
        chief = new SimulatedMigrationCoordinator(this);
        load.start();
        after(Duration.ofMillis(300), new MigrationOperator(this)::operate);
        for (int i = 0; i < plans.size(); i++) {
            List<SliceTransfer> hops = plans.get(i);
            String member = "m" + i;
            after(Duration.ofMillis(700 + 300L * i), () -> open(member, hops));
        }
        if (faults) {
            after(upTo(Duration.ofSeconds(2)), this::trouble);
            after(LOAD, this::calm);
        }
        while (!events.isEmpty()
                && events.peek().at.compareTo(END) < 0
                && broken.isEmpty()
                && !atRest()) {
            Event next = events.poll();
            now = next.at;
            next.what.run();
        }
        if (broken.isEmpty()) {
            new MigrationFinalChecks(this).check();
        }
        return new TrialResult(List.of(figures()), List.copyOf(broken));
    }

    /** Whether the load has ended, and all migrations and moves with it. */
    private boolean atRest() {
        return now.compareTo(LOAD.plusSeconds(2)) > 0
                && chief.works()
                && chief.migrations.journalState().activeMigrations().isEmpty()
                && chief.coordinator.state().activeMoves().isEmpty()
                && chief.coordinator.state().pendingDrops().isEmpty();
    }

    private void calm() {
        calm = true;
        recordsLeft = 0;
        nodes.forEach(SimulatedMigrationNode::back);
        load.reconnectRouters();
        if (chief.dead()) {
            chief = new SimulatedMigrationCoordinator(this);
        }
    }

    private void open(String member, List<SliceTransfer> hops) {
        if (!chief.works() || now.compareTo(LOAD) > 0) {
            after(
                    Duration.ofMillis(100),
                    () -> {
                        if (now.compareTo(LOAD) < 0) {
                            open(member, hops);
                        }
                    });
            return;
        }
        chief.migrations.updateUtility(member, 1);
        if (chief.ordered(migrations -> () -> migrations.createMigration(member, hops, now))
                != null) {
            after(Duration.ofMillis(100), () -> open(member, hops));
        }
    }

    // ---- records of coordinators

    void written(SimulatedMigrationCoordinator by, JournalRecord record) {
        if (record instanceof JournalRecord.Planned planned) {
            slicesOf.put(planned.id(), planned.change().slices().get(0));
        } else if (record instanceof JournalRecord.CutOver cut) {
            lastCut.put(slicesOf.get(cut.id()), cut.version());
        } else if (record instanceof MigrationRecord.StateEntered entered
                && entered.state() == MigrationState.OBSERVING) {
            Migration one = by.migrations.journalState().find(entered.id()).orElseThrow();
            long version =
                    one.transfers.stream()
                            .mapToLong(hop -> lastCut.getOrDefault(hop.slice(), 0L))
                            .max()
                            .orElse(0);
            load.checkNoneUsesOlder(version);
        }
        if (record instanceof MigrationRecord.StateEntered entered) {
            count("entered " + entered.state().wireName());
        } else if (record instanceof MigrationRecord.Paused paused) {
            count("paused " + paused.reason().wireName());
        }
    }

    private static String kind(JournalRecord record) {
        return record instanceof MigrationRecord migration
                ? kind(migration)
                : record instanceof JournalRecord.Advanced advanced
                        ? "Advanced " + advanced.state()
                        : record.getClass().getSimpleName();
    }

    /**
     * Returns the name of the record kind that trials count, which does not depend on the names of
     * types.
     */
    private static String kind(MigrationRecord record) {
        if (record instanceof MigrationRecord.StateEntered entered) {
            return "Entered " + entered.state().wireName();
        }
        return record instanceof MigrationRecord.Created
                ? "Opened"
                : record instanceof MigrationRecord.MoveVerified
                        ? "Verified"
                        : record instanceof MigrationRecord.CheckpointOpened
                                ? "Opening"
                                : record instanceof MigrationRecord.CheckpointPassed
                                        ? "Passed"
                                        : record instanceof MigrationRecord.Paused
                                                ? "Paused"
                                                : record instanceof MigrationRecord.Resumed
                                                        ? "Resumed"
                                                        : record
                                                                        instanceof
                                                                        MigrationRecord
                                                                                .RollbackStarted
                                                                ? "RollingBack"
                                                                : "Standing";
    }

    /**
     * Handles the death of the coordinator at this record. Depending on the seed a router or a
     * source node dies with it.
     */
    void killedAtRecord(JournalRecord record) {
        diedAt.add(kind(record));
        if (seed % 3 == 1) {
            load.restartRouter();
        } else if (seed % 3 == 2) {
            List<SliceTransfer> hops = plans.get(chance.nextInt(plans.size()));
            node(hops.get(chance.nextInt(hops.size())).source())
                    .die(Duration.ofMillis(100).plus(upTo(Duration.ofSeconds(1))));
        }
        after(upTo(Duration.ofMillis(700)), this::succeed);
    }

    void succeed() {
        if (chief.dead()) {
            chief = new SimulatedMigrationCoordinator(this);
        }
    }

    void listed(SimulatedMigrationNode node, boolean up) {
        if (up) {
            gone.remove(node.name);
        } else {
            gone.add(node.name);
        }
        chief.listed(node, up);
    }

    // ---- faults

    private void trouble() {
        if (calm) {
            return;
        }
        after(upTo(Duration.ofSeconds(2)), this::trouble);
        switch (chance.nextInt(6)) {
            case 0 -> {
                // Only one node is down at a time: rows that all replicas of a slice lose are lost
                // with or without a migration.
                if (nodes.stream().allMatch(node -> node.alive)) {
                    nodes.get(chance.nextInt(NODES))
                            .die(Duration.ofMillis(50).plus(upTo(Duration.ofMillis(900))));
                }
            }
            case 1 ->
                    nodes.get(chance.nextInt(NODES)).slowUntil =
                            now.plus(upTo(Duration.ofSeconds(1)));
            case 2 -> load.cutRouterOff();
            case 3 -> load.restartRouter();
            case 4 -> twoCoordinators();
            default -> {
                if (recordsLeft == 0) {
                    recordsLeft = 1 + chance.nextInt(12);
                }
            }
        }
    }

    /**
     * Suspends the coordinator until its lock expires and a successor takes over, and then resumes
     * it beside the successor.
     */
    private void twoCoordinators() {
        SimulatedMigrationCoordinator old = chief;
        if (!old.works()) {
            return;
        }
        old.stop();
        after(
                upTo(Duration.ofMillis(300)),
                () -> {
                    if (chief == old) {
                        chief = new SimulatedMigrationCoordinator(this);
                        count("successors beside a stopped one");
                    }
                });
        after(Duration.ofMillis(200).plus(upTo(Duration.ofMillis(900))), old::wake);
    }

    private String figures() {
        StringBuilder line =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "seed %d: %d holds, %d done, %d rejected, %d records; ",
                                seed,
                                load.keys.size(),
                                load.done.size(),
                                load.rejected.size(),
                                log.size()));
        line.append(load.figures());
        return line + "slipped " + slipped + ", died at " + diedAt + " " + seen;
    }
}
