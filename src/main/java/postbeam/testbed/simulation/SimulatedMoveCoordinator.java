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
    private static final Duration LOOK = Duration.ofMillis(20);
    private static final double LOST_MESSAGES = 0.05;

    private final SimulatedCluster cluster;

    /** The encoded log records on disk. */
    private final List<byte[]> records = new ArrayList<>();

    private final Map<String, Map<KeyRange, Boolean>> runs = new HashMap<>();
    private Coordinator coordinator;
    private Map<String, TargetLayout.NodeInfo> list = new LinkedHashMap<>();
    private final Map<String, Long> startedMicros = new HashMap<>();
    private long listVersion;
    private int life;

    /** Log records until it crashes; below 0 if no crash is scheduled. */
    private int recordsLeft = -1;

    private Duration awayFor = Duration.ZERO;
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
        coordinator = new Coordinator(journalState, LIMITS);
        coordinator.onNodesListed(list, List.of());
        cluster.published(journalState.layout());
        int now = ++life;
        cluster.after(LOOK, () -> look(now));
    }

    private void look(int mine) {
        if (mine != life) {
            return;
        }
        carryOut(coordinator.tick(cluster.now()));
        cluster.after(LOOK, () -> look(mine));
    }

    private void carryOut(List<CoordinatorAction> acts) {
        for (CoordinatorAction act : acts) {
            if (act instanceof CoordinatorAction.AppendRecord write) {
                records.add(MoveRecordCodec.write(write.record()));
                movesCutOver += write.record() instanceof JournalRecord.CutOver ? 1 : 0;
                movesAbandoned += write.record() instanceof JournalRecord.RolledBack ? 1 : 0;
                if (recordsLeft > 0 && --recordsLeft == 0) {
                    recordsLeft = -1;
                    crash(awayFor);
                    return;
                }
            } else if (act instanceof CoordinatorAction.SendCommand tell) {
                tell(tell);
            } else if (act instanceof CoordinatorAction.PublishLayout publish) {
                cluster.published(publish.layout());
            }
        }
    }

    private void tell(CoordinatorAction.SendCommand tell) {
        if (cluster.faultsActive() && cluster.with(LOST_MESSAGES)) {
            return;
        }
        int mine = life;
        cluster.hop(
                () ->
                        cluster.node(tell.node())
                                .ordered(
                                        tell,
                                        () -> {
                                            if (mine == life
                                                    && !(cluster.faultsActive()
                                                            && cluster.with(LOST_MESSAGES))) {
                                                coordinator.acknowledged(
                                                        tell.move(),
                                                        tell.node(),
                                                        tell.command(),
                                                        tell.slice());
                                            }
                                        }));
    }

    void listed(long version, List<Endpoint> entries) {
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
        list = new LinkedHashMap<>();
        entries.forEach(
                endpoint ->
                        list.put(
                                endpoint.name(),
                                new TargetLayout.NodeInfo(endpoint.zone(), endpoint.readiness())));
        if (coordinator != null) {
            coordinator.onNodesListed(list, started);
        }
    }

    /**
     * Whether any key of the range has already run for the deduplicated query; records the range as
     * run. Models the deduplication state that nodes hand over with a slice, kept in one place for
     * all nodes.
     */
    boolean repeated(String query, KeyRange keys) {
        Map<KeyRange, Boolean> ran = runs.computeIfAbsent(query, key -> new LinkedHashMap<>());
        boolean before = ran.keySet().stream().anyMatch(keys::overlaps);
        ran.put(keys, true);
        return before;
    }

    // ---- actions of operators

    void recut() {
        if (coordinator == null) {
            return;
        }
        Layout layout = coordinator.state().layout();
        List<Slice> slices = layout.slices();
        int at = cluster.chance.nextInt(slices.size());
        Slice slice = slices.get(at);
        List<String> ready = cluster.ready();
        LayoutChange change;
        int kind = cluster.chance.nextInt(slices.size() > 3 * cluster.plan.slices() ? 2 : 3);
        if (kind == 2 && slice.keys().size() > 1000) {
            change = new LayoutChange.Split(slice.number(), List.of(cluster.within(slice.keys())));
        } else if (kind == 1 && at + 1 < slices.size()) {
            change = new LayoutChange.Merge(List.of(slice.number(), slices.get(at + 1).number()));
        } else if (ready.isEmpty()) {
            return;
        } else {
            change =
                    new LayoutChange.Transfer(
                            slice.number(),
                            slice.nodes().get(cluster.chance.nextInt(slice.nodes().size())),
                            ready.get(cluster.chance.nextInt(ready.size())));
        }
        // Sometimes the operator declares a removed node dead and repairs its slices.
        List<LayoutChange> mends = cluster.with(0.3) ? coordinator.repairs() : List.of();
        if (!mends.isEmpty()) {
            movesStarted++;
            carryOut(coordinator.plan(mends.get(0), cluster.now()));
        } else if (coordinator.rejectionReason(change).isEmpty()) {
            movesStarted++;
            carryOut(coordinator.plan(change, cluster.now()));
        } else if (change instanceof LayoutChange.Merge) {
            // Adjacent slices on different nodes are first moved to the same nodes, so that a later
            // merge is possible.
            Slice other = slices.get(at + 1);
            for (String node : slice.nodes()) {
                String off =
                        other.nodes().stream()
                                .filter(held -> !slice.heldBy(held))
                                .findFirst()
                                .orElse(null);
                LayoutChange near =
                        other.heldBy(node) || off == null
                                ? null
                                : new LayoutChange.Transfer(other.number(), off, node);
                if (near != null && coordinator.rejectionReason(near).isEmpty()) {
                    movesStarted++;
                    carryOut(coordinator.plan(near, cluster.now()));
                    return;
                }
            }
        }
    }

    void abandonOne() {
        if (coordinator == null) {
            return;
        }
        List<Move> moves =
                coordinator.state().activeMoves().stream()
                        .filter(move -> move.abandonReason() == null && !move.reverseWhenDone())
                        .toList();
        if (!moves.isEmpty()) {
            Move move = moves.get(cluster.chance.nextInt(moves.size()));
            carryOut(coordinator.abandon(move.id, "an operator's wish", cluster.now()));
        }
    }

    // ---- faults

    /** Crashes now and recovers from the log after this time. */
    void crash(Duration away) {
        if (coordinator == null) {
            return;
        }
        life++;
        coordinator = null;
        cluster.after(
                away,
                () -> {
                    if (coordinator == null) {
                        start();
                    }
                });
    }

    /**
     * Crashes after this many further records are on disk, before the action that the last one is
     * about.
     */
    void crashAtARecord(int count, Duration away) {
        recordsLeft = count;
        awayFor = away;
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
