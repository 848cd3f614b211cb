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
    static final MoveLimits MOVE_LIMITS =
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
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);

    /** An encoded log record and the term in which it was written. */
    // The array is never modified and records are not compared by value.
    @SuppressWarnings("ArrayRecordComponent")
    record Stored(long term, byte[] bytes) {}

    /** Ends the process in the middle of an action. */
    private static final class ProcessEndedException extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    final Coordinator coordinator;
    final MigrationManager migrations;
    private final MigrationSimulation simulation;
    private final MigrationJournalState migrationJournal = new MigrationJournalState();
    private final long term;

    /**
     * The log length that this process last saw. If the log is longer, a successor has taken over.
     */
    private int seenLogLength;

    private boolean dead;
    private boolean suspended;
    private final Deque<Runnable> deferredEvents = new ArrayDeque<>();
    private final Map<String, Duration> lastArrival = new HashMap<>();

    SimulatedMigrationCoordinator(MigrationSimulation simulation) {
        this.simulation = simulation;
        MoveJournalState moves = new MoveJournalState(50);
        moves.setWorkflow(migrationJournal);
        for (Stored stored : simulation.log) {
            JournalRecord record = read(stored);
            if (stored.term == 0 || stored.term >= moves.term()) {
                moves.apply(record);
            }
        }
        coordinator = new Coordinator(moves, MOVE_LIMITS);
        migrations =
                DefectiveMigration.create(
                        simulation.defect, coordinator, migrationJournal, simulation.now);
        term = moves.term() + 1;
        JournalRecord.TermStarted termStarted = new JournalRecord.TermStarted(term);
        moves.apply(termStarted);
        simulation.log.add(new Stored(term, MoveRecordCodec.write(termStarted, term)));
        seenLogLength = simulation.log.size();
        coordinator.onNodesListed(nodeList(), List.of());
        simulation.after(TICK_INTERVAL, this::tick);
    }

    private static JournalRecord read(Stored stored) {
        try {
            return MoveRecordCodec.read(stored.bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Map<String, TargetLayout.NodeInfo> nodeList() {
        Map<String, TargetLayout.NodeInfo> nodeList = new LinkedHashMap<>();
        simulation.nodes.forEach(
                node ->
                        nodeList.put(
                                node.name,
                                new TargetLayout.NodeInfo(
                                        "z",
                                        simulation.removedNodes.contains(node.name)
                                                ? Readiness.REMOVED
                                                : Readiness.READY)));
        return nodeList;
    }

    boolean isRunning() {
        return !dead && !suspended;
    }

    boolean dead() {
        return dead;
    }

    private void tick() {
        if (dead) {
            return;
        }
        handle(
                () -> {
                    carryOut(migrations.tick(simulation.now));
                    List<MigrationAction> moves = new ArrayList<>();
                    coordinator
                            .tick(simulation.now)
                            .forEach(action -> moves.add(new MigrationAction.Delegated(action)));
                    carryOut(moves);
                });
        simulation.after(TICK_INTERVAL, this::tick);
    }

    /** Handles an event: at once, on resume if the process is suspended, never if it is dead. */
    private void handle(Runnable event) {
        if (dead) {
            return;
        }
        if (suspended) {
            if (deferredEvents.size() < 64) {
                deferredEvents.add(event);
            }
            return;
        }
        try {
            event.run();
        } catch (ProcessEndedException e) {
            dead = true;
        }
    }

    private void carryOut(List<MigrationAction> actions) {
        for (MigrationAction action : actions) {
            if (action instanceof MigrationAction.RequestDigests request) {
                if (!simulation.losesMessage()) {
                    simulation.afterHop(
                            () ->
                                    simulation
                                            .node(request.node())
                                            .answerDigests(
                                                    request,
                                                    digests ->
                                                            handle(
                                                                    () ->
                                                                            migrations
                                                                                    .onRangeDigests(
                                                                                            request
                                                                                                    .requestId(),
                                                                                            request
                                                                                                    .node(),
                                                                                            digests,
                                                                                            simulation
                                                                                                    .now))));
                }
            } else if (action instanceof MigrationAction.Delegated delegated
                    && delegated.action() instanceof CoordinatorAction.AppendRecord append) {
                appendToLog(append.record());
            } else if (action instanceof MigrationAction.Delegated delegated
                    && delegated.action() instanceof CoordinatorAction.SendCommand command) {
                sendCommand(command);
            }
            // Layouts need no action: routers poll for them.
        }
    }

    private void appendToLog(JournalRecord record) {
        Stored stored = new Stored(term, MoveRecordCodec.write(record, term));
        if (simulation.log.size() != seenLogLength) {
            // The process may have checked for a successor just before that one wrote: then its
            // record is appended after the successor's.
            if (simulation.withProbability(0.5)) {
                simulation.log.add(stored);
                simulation.staleAppends++;
            }
            throw new ProcessEndedException();
        }
        simulation.log.add(stored);
        seenLogLength = simulation.log.size();
        simulation.onRecordAppended(this, record);
        if (simulation.recordsLeft > 0 && --simulation.recordsLeft == 0) {
            simulation.onCoordinatorDied(record);
            throw new ProcessEndedException();
        }
    }

    private void sendCommand(CoordinatorAction.SendCommand command) {
        if (simulation.losesMessage()) {
            return;
        }
        // There is one connection per node, so commands arrive in the order in which they were
        // sent.
        Duration at =
                simulation
                        .now
                        .plus(Duration.ofMillis(1))
                        .plus(simulation.randomDuration(Duration.ofMillis(2)));
        Duration last = lastArrival.get(command.node());
        at = last != null && last.compareTo(at) > 0 ? last : at;
        lastArrival.put(command.node(), at);
        boolean keepsOldRows =
                simulation.defect == DefectiveMigration.Defect.ROLLBACK_LOSES
                        && command.command() == HandoffCommand.COPY
                        && isReverseOfTransfer(command.move());
        simulation.after(
                at.minus(simulation.now),
                () ->
                        simulation
                                .node(command.node())
                                .execute(
                                        command,
                                        term,
                                        keepsOldRows,
                                        answer -> {
                                            if (!simulation.losesMessage()) {
                                                handle(
                                                        () -> {
                                                            if (answer.equals("stale")) {
                                                                throw new ProcessEndedException();
                                                            }
                                                            coordinator.acknowledged(
                                                                    command.move(),
                                                                    command.node(),
                                                                    command.command(),
                                                                    command.slice());
                                                        });
                                            }
                                        }));
    }

    private boolean isReverseOfTransfer(long id) {
        Move move = coordinator.state().move(id);
        if (move == null) {
            return false;
        }
        int slice = move.change.slices().get(0);
        return migrationJournal
                .activeMigrationOf(slice)
                .flatMap(migration -> migration.transferOf(slice))
                .filter(transfer -> move.change.equals(transfer.reverseChange()))
                .isPresent();
    }

    // ---- events

    void onNodeListed(SimulatedMigrationNode node, boolean up) {
        handle(
                () -> {
                    coordinator.onNodesListed(nodeList(), up ? List.of(node.name) : List.of());
                    if (up) {
                        carryOut(migrations.onNodesStarted(List.of(node.name), simulation.now));
                    }
                });
    }

    /** Handles a layout request of a router; returns null if the process does not answer. */
    Layout onLayoutRequest(String router, long version) {
        if (!isRunning()) {
            return null;
        }
        migrations.routerAcknowledgements().onRequest(router, version, simulation.now);
        Layout layout = coordinator.state().layout();
        migrations.routerAcknowledgements().onResponse(router, layout.version, simulation.now);
        return layout;
    }

    /** Runs the command of an operator; returns the error if it was refused, else null. */
    OperatorErrorException execute(
            java.util.function.Function<MigrationManager, OperatorCommand> command) {
        OperatorErrorException[] refused = new OperatorErrorException[1];
        handle(
                () -> {
                    try {
                        carryOut(command.apply(migrations).run());
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

    void suspend() {
        suspended = true;
    }

    /** Resumes the process, which first handles the events that arrived during the suspension. */
    void resume() {
        suspended = false;
        while (!deferredEvents.isEmpty()) {
            handle(deferredEvents.poll());
        }
    }
}
