package postbeam.testbed.simulation;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import postbeam.endpoints.Endpoint;
import postbeam.layoutservice.MoveRecordCodec;
import postbeam.model.Readiness;
import postbeam.slices.Coordinator;
import postbeam.slices.CoordinatorAction;
import postbeam.slices.JournalRecord;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.LayoutChange;
import postbeam.slices.Move;
import postbeam.slices.MoveJournalState;
import postbeam.slices.MoveLimits;
import postbeam.slices.Slice;
import postbeam.slices.TargetLayout;

/**
 * The coordinator of moves on the simulated clock. It may crash after a log record or at any time,
 * and recovers from its log.
 */
public final class SimulatedMoveCoordinator {
    static final MoveLimits LIMITS =
            new MoveLimits(
                    4,
                    4,
                    4,
                    Duration.ofMillis(1500),
                    Duration.ofSeconds(2),
                    Duration.ofMillis(500),
                    Duration.ofMillis(100),
                    2,
                    2);
    private static final long HISTORY = 12;
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
    private static final double MESSAGE_LOSS = 0.05;

    private final SimulatedCluster cluster;

    /** The encoded log records on disk. */
    private final List<byte[]> records = new ArrayList<>();

    private final Map<String, Map<KeyRange, Boolean>> ranKeys = new HashMap<>();
    private Coordinator coordinator;
    private Map<String, TargetLayout.NodeInfo> nodeList = new LinkedHashMap<>();
    private final Map<String, Long> startedMicros = new HashMap<>();
    private long listVersion;
    private int incarnation;

    /** Log records until it crashes; below 0 if no crash is scheduled. */
    private int recordsLeft = -1;

    private Duration crashDowntime = Duration.ZERO;
    private int movesStarted;
    private int movesCutOver;
    private int movesAbandoned;

    SimulatedMoveCoordinator(SimulatedCluster cluster, Layout first) {
        this.cluster = cluster;
        records.add(
                MoveRecordCodec.write(
                        new JournalRecord.Snapshot(
                                first,
                                first.version,
                                0,
                                first.slices().size() - 1,
                                List.of(),
                                null,
                                List.of())));
    }

    void start() {
        MoveJournalState journalState = new MoveJournalState(HISTORY);
        for (byte[] record : records) {
            try {
                journalState.apply(MoveRecordCodec.read(record));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        JournalRecord.TermStarted termStarted =
                new JournalRecord.TermStarted(journalState.term() + 1);
        journalState.apply(termStarted);
        records.add(MoveRecordCodec.write(termStarted));
        coordinator = new Coordinator(journalState, LIMITS);
        coordinator.onNodesListed(nodeList, List.of());
        cluster.publishLayout(journalState.layout());
        int current = ++incarnation;
        cluster.after(TICK_INTERVAL, () -> tick(current));
    }

    private void tick(int startIncarnation) {
        if (startIncarnation != incarnation) {
            return;
        }
        carryOut(coordinator.tick(cluster.now()));
        cluster.after(TICK_INTERVAL, () -> tick(startIncarnation));
    }

    private void carryOut(List<CoordinatorAction> actions) {
        for (CoordinatorAction action : actions) {
            if (action instanceof CoordinatorAction.AppendRecord append) {
                records.add(MoveRecordCodec.write(append.record()));
                movesCutOver += append.record() instanceof JournalRecord.CutOver ? 1 : 0;
                movesAbandoned += append.record() instanceof JournalRecord.RolledBack ? 1 : 0;
                if (recordsLeft > 0 && --recordsLeft == 0) {
                    recordsLeft = -1;
                    crash(crashDowntime);
                    return;
                }
            } else if (action instanceof CoordinatorAction.SendCommand command) {
                sendCommand(command);
            } else if (action instanceof CoordinatorAction.PublishLayout publish) {
                cluster.publishLayout(publish.layout());
            }
        }
    }

    private void sendCommand(CoordinatorAction.SendCommand command) {
        if (cluster.faultsActive() && cluster.withProbability(MESSAGE_LOSS)) {
            return;
        }
        int startIncarnation = incarnation;
        long term = coordinator.state().term();
        cluster.afterHop(
                () ->
                        cluster.node(command.node())
                                .execute(
                                        command,
                                        term,
                                        () -> {
                                            if (startIncarnation == incarnation
                                                    && !(cluster.faultsActive()
                                                            && cluster.withProbability(
                                                                    MESSAGE_LOSS))) {
                                                coordinator.acknowledged(
                                                        command.move(),
                                                        command.node(),
                                                        command.command(),
                                                        command.slice());
                                            }
                                        }));
    }

    void onNodeList(long version, List<Endpoint> entries) {
        if (version < listVersion) {
            return;
        }
        listVersion = version;
        List<String> started =
                entries.stream()
                        .filter(
                                endpoint -> {
                                    Long before =
                                            startedMicros.put(
                                                    endpoint.name(), endpoint.startedMicros());
                                    return before != null && before != endpoint.startedMicros();
                                })
                        .map(Endpoint::name)
                        .toList();
        nodeList = new LinkedHashMap<>();
        entries.forEach(
                endpoint ->
                        nodeList.put(
                                endpoint.name(),
                                new TargetLayout.NodeInfo(endpoint.zone(), endpoint.readiness())));
        if (coordinator != null) {
            coordinator.onNodesListed(nodeList, started);
        }
    }

    /**
     * Whether any key of the range has already run for the deduplicated query; records the range as
     * run. Models the deduplication state that nodes hand over with a slice, kept in one place for
     * all nodes.
     */
    boolean alreadyRan(String query, KeyRange keys) {
        Map<KeyRange, Boolean> ran = ranKeys.computeIfAbsent(query, key -> new LinkedHashMap<>());
        boolean before = ran.keySet().stream().anyMatch(keys::overlaps);
        ran.put(keys, true);
        return before;
    }

    // ---- actions of operators

    void changeLayout() {
        if (coordinator == null) {
            return;
        }
        Layout layout = coordinator.state().layout();
        List<Slice> slices = layout.slices();
        int at = cluster.random.nextInt(slices.size());
        Slice slice = slices.get(at);
        List<String> ready = cluster.ready();
        LayoutChange change;
        int kind = cluster.random.nextInt(slices.size() > 3 * cluster.plan.slices() ? 2 : 3);
        if (kind == 2 && slice.keys().size() > 1000) {
            change =
                    new LayoutChange.Split(
                            slice.number(), List.of(cluster.randomKey(slice.keys())));
        } else if (kind == 1 && at + 1 < slices.size()) {
            change = new LayoutChange.Merge(List.of(slice.number(), slices.get(at + 1).number()));
        } else if (ready.isEmpty()) {
            return;
        } else {
            change =
                    new LayoutChange.Transfer(
                            slice.number(),
                            slice.nodes().get(cluster.random.nextInt(slice.nodes().size())),
                            ready.get(cluster.random.nextInt(ready.size())));
        }
        // Sometimes the operator declares a removed node dead and repairs its slices.
        List<LayoutChange> repairs =
                cluster.withProbability(0.3) ? coordinator.repairs() : List.of();
        if (!repairs.isEmpty()) {
            movesStarted++;
            carryOut(coordinator.plan(repairs.get(0), cluster.now()));
        } else if (coordinator.rejectionReason(change).isEmpty()) {
            movesStarted++;
            carryOut(coordinator.plan(change, cluster.now()));
        } else if (change instanceof LayoutChange.Merge) {
            // Adjacent slices on different nodes are first moved to the same nodes, so that a later
            // merge is possible.
            Slice other = slices.get(at + 1);
            for (String node : slice.nodes()) {
                String surplusNode =
                        other.nodes().stream()
                                .filter(held -> !slice.heldBy(held))
                                .findFirst()
                                .orElse(null);
                LayoutChange coLocation =
                        other.heldBy(node) || surplusNode == null
                                ? null
                                : new LayoutChange.Transfer(other.number(), surplusNode, node);
                if (coLocation != null && coordinator.rejectionReason(coLocation).isEmpty()) {
                    movesStarted++;
                    carryOut(coordinator.plan(coLocation, cluster.now()));
                    return;
                }
            }
        }
    }

    void abandonRandomMove() {
        if (coordinator == null) {
            return;
        }
        List<Move> moves =
                coordinator.state().activeMoves().stream()
                        .filter(move -> move.abandonReason() == null && !move.reverseWhenDone())
                        .toList();
        if (!moves.isEmpty()) {
            Move move = moves.get(cluster.random.nextInt(moves.size()));
            carryOut(coordinator.abandon(move.id, "requested by the operator", cluster.now()));
        }
    }

    // ---- faults

    /** Crashes now and recovers from the log after this time. */
    void crash(Duration downtime) {
        if (coordinator == null) {
            return;
        }
        incarnation++;
        coordinator = null;
        cluster.after(
                downtime,
                () -> {
                    if (coordinator == null) {
                        start();
                    }
                });
    }

    /**
     * Schedules a crash right after this many further records are on disk, before the action that
     * the last one is about.
     */
    void crashAfterRecords(int count, Duration downtime) {
        recordsLeft = count;
        crashDowntime = downtime;
    }

    void recover() {
        recordsLeft = -1;
        if (coordinator == null) {
            start();
        }
    }

    /** Returns the number of moves that were cut over. */
    public int movesCutOver() {
        return movesCutOver;
    }

    /** Returns the number of moves that were rolled back. */
    public int movesAbandoned() {
        return movesAbandoned;
    }

    /** Returns the number of moves that were started. */
    public int movesStarted() {
        return movesStarted;
    }

    /** Returns what has not settled long after the last fault, one line each. */
    List<String> unsettled() {
        List<String> found = new ArrayList<>();
        for (Move move : coordinator.state().activeMoves()) {
            found.add("progress: " + move + " does not end");
        }
        for (Slice slice : coordinator.state().layout().slices()) {
            for (String node : slice.nodes()) {
                if (cluster.node(node).readiness == Readiness.READY
                        && !cluster.node(node).serves(slice.number())) {
                    found.add(
                            "progress: node "
                                    + node
                                    + " does not serve slice "
                                    + slice.number()
                                    + " that the layout assigns to it");
                }
            }
        }
        return found;
    }
}
