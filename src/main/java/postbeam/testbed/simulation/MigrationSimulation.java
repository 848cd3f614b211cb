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
    private static final int REPLICAS = 3;
    static final Duration LOAD_SPAN = Duration.ofSeconds(9);
    private static final Duration MAX_LENGTH = Duration.ofSeconds(40);
    private static final double MESSAGE_LOSS = 0.03;
    private static final double FAULTY_COPIES = 0.03;

    /**
     * The number of log records that most runs write. The record after which the coordinator dies
     * cycles through them with the seed.
     */
    private static final int TYPICAL_RECORDS = 90;

    private record Event(Duration at, long number, Runnable action) {}

    final UniformRandomProvider random;
    final DefectiveMigration.Defect defect;
    final List<SimulatedMigrationNode> nodes = new ArrayList<>();
    final Set<String> removedNodes = new LinkedHashSet<>();
    final List<SimulatedMigrationCoordinator.Stored> log = new ArrayList<>();
    Duration now = Duration.ZERO;
    int recordsLeft;
    int staleAppends;
    private final long seed;
    final boolean faults;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparingLong(Event::number));

    /** The slice of each move, by move id. */
    private final Map<Long, Integer> sliceByMove = new HashMap<>();

    private final Map<Integer, Long> lastCutOverVersion = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    public final Set<String> diedAt = new TreeSet<>();
    public final Map<String, Integer> eventCounts = new TreeMap<>();
    final Layout initialLayout;
    final MigrationLoad load;
    private final List<List<SliceTransfer>> plannedTransfers = new ArrayList<>();
    SimulatedMigrationCoordinator activeCoordinator;
    private long eventCount;
    private long marks;
    private long fenceSequences;
    boolean faultsEnded;

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
        this.faultsEnded = !faults;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int i = 0; i < NODES; i++) {
            nodes.add(new SimulatedMigrationNode(this, "n" + i));
        }
        initialLayout =
                Layout.initial(SLICES, nodes.stream().map(node -> node.name).toList(), REPLICAS);
        for (Slice slice : initialLayout.slices()) {
            for (String node : slice.nodes()) {
                SimulatedMigrationNode.Copy copy =
                        new SimulatedMigrationNode.Copy(
                                slice.keys(), SimulatedMigrationNode.CopyState.SERVING);
                copy.copied = true;
                node(node).copies.put(slice.number(), copy);
            }
        }
        log.add(
                new SimulatedMigrationCoordinator.Stored(
                        0,
                        MoveRecordCodec.write(
                                new JournalRecord.Snapshot(
                                        initialLayout,
                                        1,
                                        0,
                                        SLICES - 1,
                                        List.of(),
                                        null,
                                        List.of()))));
        load = new MigrationLoad(this);
        plannedTransfers.add(List.of(randomTransfer(0), randomTransfer(1), randomTransfer(2)));
        plannedTransfers.add(List.of(randomTransfer(3), randomTransfer(4)));
        recordsLeft = faults ? (int) (1 + seed % TYPICAL_RECORDS) : 0;
    }

    private SliceTransfer randomTransfer(int slice) {
        List<String> replicas = initialLayout.slice(slice).nodes();
        List<String> others =
                nodes.stream()
                        .map(node -> node.name)
                        .filter(node -> !replicas.contains(node))
                        .toList();
        return new SliceTransfer(
                slice,
                replicas.get(random.nextInt(replicas.size())),
                others.get(random.nextInt(others.size())));
    }

    // ---- the clock and random choices

    void after(Duration wait, Runnable action) {
        events.add(new Event(now.plus(wait), eventCount++, action));
    }

    void afterHop(Runnable action) {
        after(Duration.ofMillis(1).plus(randomDuration(Duration.ofMillis(1))), action);
    }

    Duration randomDuration(Duration max) {
        return Duration.ofNanos((long) (random.nextDouble() * max.toNanos()));
    }

    boolean withProbability(double probability) {
        return random.nextDouble() < probability;
    }

    /** Whether the next message between coordinator and node is lost. */
    boolean losesMessage() {
        return !faultsEnded && withProbability(MESSAGE_LOSS);
    }

    long nextMark() {
        return ++marks;
    }

    long nextFenceSequence() {
        return ++fenceSequences;
    }

    SimulatedMigrationNode node(String name) {
        return nodes.get(Integer.parseInt(name.substring(1)));
    }

    /** Removes a random row from a copy with a small probability, as a faulty copy would. */
    void maybeDropRow(SortedMap<Long, SimulatedMigrationNode.Row> rows) {
        if (!faultsEnded && !rows.isEmpty() && withProbability(FAULTY_COPIES)) {
            rows.remove(new ArrayList<>(rows.keySet()).get(random.nextInt(rows.size())));
            count("copies spoilt");
        }
    }

    void count(String event) {
        eventCounts.merge(event, 1, Integer::sum);
    }

    void addViolation(String violation) {
        violations.add("at " + now.toMillis() + " ms: " + violation);
    }

    // ---- the run

    /** Runs the simulation and checks its final state. */
    public TrialResult run() {
        activeCoordinator = new SimulatedMigrationCoordinator(this);
        load.start();
        after(Duration.ofMillis(300), new MigrationOperator(this)::operate);
        for (int i = 0; i < plannedTransfers.size(); i++) {
            List<SliceTransfer> transfers = plannedTransfers.get(i);
            String member = "m" + i;
            after(Duration.ofMillis(700 + 300L * i), () -> openMigration(member, transfers));
        }
        if (faults) {
            after(randomDuration(Duration.ofSeconds(2)), this::injectFault);
            after(LOAD_SPAN, this::endFaults);
        }
        while (!events.isEmpty()
                && events.peek().at.compareTo(MAX_LENGTH) < 0
                && violations.isEmpty()
                && !isSettled()) {
            Event next = events.poll();
            now = next.at;
            next.action.run();
        }
        if (violations.isEmpty()) {
            new MigrationFinalChecks(this).check();
        }
        return new TrialResult(List.of(figures()), List.copyOf(violations));
    }

    /** Whether the load has ended, and all migrations and moves with it. */
    private boolean isSettled() {
        return now.compareTo(LOAD_SPAN.plusSeconds(2)) > 0
                && activeCoordinator.isRunning()
                && activeCoordinator.migrations.journalState().activeMigrations().isEmpty()
                && activeCoordinator.coordinator.state().activeMoves().isEmpty()
                && activeCoordinator.coordinator.state().pendingDrops().isEmpty();
    }

    private void endFaults() {
        faultsEnded = true;
        recordsLeft = 0;
        nodes.forEach(SimulatedMigrationNode::restart);
        load.reconnectRouters();
        if (activeCoordinator.dead()) {
            activeCoordinator = new SimulatedMigrationCoordinator(this);
        }
    }

    private void openMigration(String member, List<SliceTransfer> transfers) {
        if (!activeCoordinator.isRunning() || now.compareTo(LOAD_SPAN) > 0) {
            after(
                    Duration.ofMillis(100),
                    () -> {
                        if (now.compareTo(LOAD_SPAN) < 0) {
                            openMigration(member, transfers);
                        }
                    });
            return;
        }
        activeCoordinator.migrations.updateUtility(member, 1);
        if (activeCoordinator.execute(
                        migrations -> () -> migrations.createMigration(member, transfers, now))
                != null) {
            after(Duration.ofMillis(100), () -> openMigration(member, transfers));
        }
    }

    // ---- records of coordinators

    void onRecordAppended(SimulatedMigrationCoordinator coordinator, JournalRecord record) {
        if (record instanceof JournalRecord.Planned planned) {
            sliceByMove.put(planned.id(), planned.change().slices().get(0));
        } else if (record instanceof JournalRecord.CutOver cut) {
            lastCutOverVersion.put(sliceByMove.get(cut.id()), cut.version());
        } else if (record instanceof MigrationRecord.StateEntered entered
                && entered.state() == MigrationState.OBSERVING) {
            Migration migration =
                    coordinator.migrations.journalState().find(entered.id()).orElseThrow();
            long version =
                    migration.transfers.stream()
                            .mapToLong(
                                    transfer ->
                                            lastCutOverVersion.getOrDefault(transfer.slice(), 0L))
                            .max()
                            .orElse(0);
            load.checkNoneUsesOlderLayout(version);
        }
        if (record instanceof MigrationRecord.StateEntered entered) {
            count("entered " + entered.state().wireName());
        } else if (record instanceof MigrationRecord.Paused paused) {
            count("paused " + paused.reason().wireName());
        }
    }

    private static String kindName(JournalRecord record) {
        return record instanceof MigrationRecord migration
                ? kindName(migration)
                : record instanceof JournalRecord.Advanced advanced
                        ? "Advanced " + advanced.state()
                        : record.getClass().getSimpleName();
    }

    /**
     * Returns the name of the record kind that trials count, which does not depend on the names of
     * types.
     */
    private static String kindName(MigrationRecord record) {
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
    void onCoordinatorDied(JournalRecord record) {
        diedAt.add(kindName(record));
        if (seed % 3 == 1) {
            load.restartRouter();
        } else if (seed % 3 == 2) {
            List<SliceTransfer> transfers =
                    plannedTransfers.get(random.nextInt(plannedTransfers.size()));
            node(transfers.get(random.nextInt(transfers.size())).source())
                    .crash(Duration.ofMillis(100).plus(randomDuration(Duration.ofSeconds(1))));
        }
        after(randomDuration(Duration.ofMillis(700)), this::startSuccessor);
    }

    void startSuccessor() {
        if (activeCoordinator.dead()) {
            activeCoordinator = new SimulatedMigrationCoordinator(this);
        }
    }

    void onNodeListed(SimulatedMigrationNode node, boolean up) {
        if (up) {
            removedNodes.remove(node.name);
        } else {
            removedNodes.add(node.name);
        }
        activeCoordinator.onNodeListed(node, up);
    }

    // ---- faults

    private void injectFault() {
        if (faultsEnded) {
            return;
        }
        after(randomDuration(Duration.ofSeconds(2)), this::injectFault);
        switch (random.nextInt(6)) {
            case 0 -> {
                // Only one node is down at a time: rows that all replicas of a slice lose are lost
                // with or without a migration.
                if (nodes.stream().allMatch(node -> node.alive)) {
                    nodes.get(random.nextInt(NODES))
                            .crash(
                                    Duration.ofMillis(50)
                                            .plus(randomDuration(Duration.ofMillis(900))));
                }
            }
            case 1 ->
                    nodes.get(random.nextInt(NODES)).slowUntil =
                            now.plus(randomDuration(Duration.ofSeconds(1)));
            case 2 -> load.cutRouterOff();
            case 3 -> load.restartRouter();
            case 4 -> overlapCoordinators();
            default -> {
                if (recordsLeft == 0) {
                    recordsLeft = 1 + random.nextInt(12);
                }
            }
        }
    }

    /**
     * Suspends the coordinator until its lock expires and a successor takes over, and then resumes
     * it beside the successor.
     */
    private void overlapCoordinators() {
        SimulatedMigrationCoordinator old = activeCoordinator;
        if (!old.isRunning()) {
            return;
        }
        old.suspend();
        after(
                randomDuration(Duration.ofMillis(300)),
                () -> {
                    if (activeCoordinator == old) {
                        activeCoordinator = new SimulatedMigrationCoordinator(this);
                        count("successors beside a stopped one");
                    }
                });
        after(Duration.ofMillis(200).plus(randomDuration(Duration.ofMillis(900))), old::resume);
    }

    private String figures() {
        StringBuilder line =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "seed %d: %d holds, %d done, %d rejected, %d records; ",
                                seed,
                                load.keyByHold.size(),
                                load.acknowledged.size(),
                                load.rejected.size(),
                                log.size()));
        line.append(load.figures());
        return line + "slipped " + staleAppends + ", died at " + diedAt + " " + eventCounts;
    }
}
