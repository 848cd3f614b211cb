package postbeam.testbed.simulation;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import postbeam.errors.OperatorErrorException;
import postbeam.layoutservice.MoveRecordCodec;
import postbeam.migration.MigrationAction;
import postbeam.migration.MigrationJournalState;
import postbeam.migration.MigrationLimits;
import postbeam.migration.MigrationManager;
import postbeam.model.Readiness;
import postbeam.slices.Coordinator;
import postbeam.slices.CoordinatorAction;
import postbeam.slices.HandoffCommand;
import postbeam.slices.JournalRecord;
import postbeam.slices.Layout;
import postbeam.slices.Move;
import postbeam.slices.MoveJournalState;
import postbeam.slices.MoveLimits;
import postbeam.slices.TargetLayout;

/**
 * A process of the migration coordinator on the simulated clock. It may die after a log record, be
 * suspended and resumed, and be replaced by a successor.
 */
public final class SimulatedMigrationCoordinator {
    static final MoveLimits MOVES =
            new MoveLimits(
                    4,
                    4,
                    8,
                    Duration.ofMillis(1500),
                    Duration.ofSeconds(2),
                    Duration.ZERO,
                    Duration.ofMillis(60),
                    2,
                    1);
    public static final MigrationLimits LIMITS =
            new MigrationLimits(
                    2,
                    2,
                    20,
                    100_000,
                    Duration.ofMillis(1500),
                    Duration.ofMillis(400),
                    Duration.ofMillis(500),
                    0.9,
                    Duration.ofMillis(40),
                    3,
                    1L << 40,
                    Duration.ofMillis(600),
                    Duration.ofMillis(20));
    private static final Duration LOOK = Duration.ofMillis(20);

    /** An encoded log record and the term in which it was written. */
    // The array is never modified and records are not compared by value.
    @SuppressWarnings("ArrayRecordComponent")
    record Stored(long term, byte[] bytes) {}

    /** Ends the process in the middle of an action. */
    private static final class Ended extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    final Coordinator coordinator;
    final MigrationManager migrations;
    private final MigrationSimulation world;
    private final MigrationJournalState book = new MigrationJournalState();
    private final long term;

    /**
     * The log length that this process last saw. If the log is longer, a successor has taken over.
     */
    private int seen;

    private boolean dead;
    private boolean stopped;
    private final Deque<Runnable> whileStopped = new ArrayDeque<>();
    private final Map<String, Duration> lastTold = new HashMap<>();

    SimulatedMigrationCoordinator(MigrationSimulation world) {
        this.world = world;
        MoveJournalState moves = new MoveJournalState(50);
        moves.setWorkflow(book);
        for (Stored stored : world.log) {
            JournalRecord record = read(stored);
            if (stored.term == 0 || stored.term >= moves.term()) {
                moves.apply(record);
            }
        }
        coordinator = new Coordinator(moves, MOVES);
        migrations = DefectiveMigration.create(world.defect, coordinator, book, world.now);
        term = moves.term() + 1;
        JournalRecord.TermStarted office = new JournalRecord.TermStarted(term);
        moves.apply(office);
        world.log.add(new Stored(term, MoveRecordCodec.write(office, term)));
        seen = world.log.size();
        coordinator.onNodesListed(list(), List.of());
        world.after(LOOK, this::look);
    }

    private static JournalRecord read(Stored stored) {
        try {
            return MoveRecordCodec.read(stored.bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Map<String, TargetLayout.NodeInfo> list() {
        Map<String, TargetLayout.NodeInfo> list = new LinkedHashMap<>();
        world.nodes.forEach(
                node ->
                        list.put(
                                node.name,
                                new TargetLayout.NodeInfo(
                                        "z",
                                        world.gone.contains(node.name)
                                                ? Readiness.REMOVED
                                                : Readiness.READY)));
        return list;
    }

    boolean works() {
        return !dead && !stopped;
    }

    boolean dead() {
        return dead;
    }

    private void look() {
        if (dead) {
            return;
        }
        happens(
                () -> {
                    carryOut(migrations.tick(world.now));
                    List<MigrationAction> moves = new ArrayList<>();
                    coordinator
                            .tick(world.now)
                            .forEach(act -> moves.add(new MigrationAction.Delegated(act)));
                    carryOut(moves);
                });
        world.after(LOOK, this::look);
    }

    /** Handles an event: at once, on resume if the process is suspended, never if it is dead. */
    private void happens(Runnable what) {
        if (dead) {
            return;
        }
        if (stopped) {
            if (whileStopped.size() < 64) {
                whileStopped.add(what);
            }
            return;
        }
        try {
            what.run();
        } catch (Ended e) {
            dead = true;
        }
    }

    private void carryOut(List<MigrationAction> doings) {
        for (MigrationAction doing : doings) {
            if (doing instanceof MigrationAction.RequestDigests ask) {
                if (!world.lost()) {
                    world.hop(
                            () ->
                                    world.node(ask.node())
                                            .asked(
                                                    ask,
                                                    said ->
                                                            happens(
                                                                    () ->
                                                                            migrations
                                                                                    .onRangeDigests(
                                                                                            ask
                                                                                                    .requestId(),
                                                                                            ask
                                                                                                    .node(),
                                                                                            said,
                                                                                            world.now))));
                }
            } else if (doing instanceof MigrationAction.Delegated of
                    && of.action() instanceof CoordinatorAction.AppendRecord write) {
                write(write.record());
            } else if (doing instanceof MigrationAction.Delegated of
                    && of.action() instanceof CoordinatorAction.SendCommand tell) {
                tell(tell);
            }
            // Layouts need no action: routers poll for them.
        }
    }

    private void write(JournalRecord record) {
        Stored stored = new Stored(term, MoveRecordCodec.write(record, term));
        if (world.log.size() != seen) {
            // The process may have checked for a successor just before that one wrote: then its
            // record is appended after the successor's.
            if (world.with(0.5)) {
                world.log.add(stored);
                world.slipped++;
            }
            throw new Ended();
        }
        world.log.add(stored);
        seen = world.log.size();
        world.written(this, record);
        if (world.recordsLeft > 0 && --world.recordsLeft == 0) {
            world.killedAtRecord(record);
            throw new Ended();
        }
    }

    private void tell(CoordinatorAction.SendCommand tell) {
        if (world.lost()) {
            return;
        }
        // There is one connection per node, so commands arrive in the order in which they were
        // sent.
        Duration at = world.now.plus(Duration.ofMillis(1)).plus(world.upTo(Duration.ofMillis(2)));
        Duration last = lastTold.get(tell.node());
        at = last != null && last.compareTo(at) > 0 ? last : at;
        lastTold.put(tell.node(), at);
        boolean keepsOld =
                world.defect == DefectiveMigration.Defect.ROLLBACK_LOSES
                        && tell.command() == HandoffCommand.COPY
                        && goesBack(tell.move());
        world.after(
                at.minus(world.now),
                () ->
                        world.node(tell.node())
                                .ordered(
                                        tell,
                                        term,
                                        keepsOld,
                                        said -> {
                                            if (!world.lost()) {
                                                happens(
                                                        () -> {
                                                            if (said.equals("stale")) {
                                                                throw new Ended();
                                                            }
                                                            coordinator.acknowledged(
                                                                    tell.move(),
                                                                    tell.node(),
                                                                    tell.command(),
                                                                    tell.slice());
                                                        });
                                            }
                                        }));
    }

    private boolean goesBack(long id) {
        Move move = coordinator.state().move(id);
        if (move == null) {
            return false;
        }
        int slice = move.change.slices().get(0);
        return book.activeMigrationOf(slice)
                .flatMap(migration -> migration.transferOf(slice))
                .filter(transfer -> move.change.equals(transfer.reverseChange()))
                .isPresent();
    }

    // ---- events

    void listed(SimulatedMigrationNode node, boolean up) {
        happens(
                () -> {
                    coordinator.onNodesListed(list(), up ? List.of(node.name) : List.of());
                    if (up) {
                        carryOut(migrations.onNodesStarted(List.of(node.name), world.now));
                    }
                });
    }

    /** Handles a layout request of a router; returns null if the process does not answer. */
    Layout asked(String router, long version) {
        if (!works()) {
            return null;
        }
        migrations.routerAcknowledgements().onRequest(router, version, world.now);
        Layout layout = coordinator.state().layout();
        migrations.routerAcknowledgements().onResponse(router, layout.version, world.now);
        return layout;
    }

    /** Runs the command of an operator; returns the error if it was refused, else null. */
    OperatorErrorException ordered(
            java.util.function.Function<MigrationManager, OperatorCommand> order) {
        OperatorErrorException[] refused = new OperatorErrorException[1];
        happens(
                () -> {
                    try {
                        carryOut(order.apply(migrations).run());
                    } catch (OperatorErrorException e) {
                        refused[0] = e;
                    }
                });
        return refused[0];
    }

    // ---- faults

    void kill() {
        dead = true;
    }

    void stop() {
        stopped = true;
    }

    /** Resumes the process, which first handles the events that arrived during the suspension. */
    void wake() {
        stopped = false;
        while (!whileStopped.isEmpty()) {
            happens(whileStopped.poll());
        }
    }
}
