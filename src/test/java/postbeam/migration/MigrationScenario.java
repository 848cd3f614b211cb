package postbeam.migration;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.function.Executable;
import postbeam.errors.OperatorErrorException;
import postbeam.model.Readiness;
import postbeam.slices.Coordinator;
import postbeam.slices.CoordinatorAction;
import postbeam.slices.HandoffCommand;
import postbeam.slices.JournalRecord;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.MoveJournalState;
import postbeam.slices.MoveLimits;
import postbeam.slices.TargetLayout;

/**
 * Drives a {@link MigrationManager} with a simulated cluster: four slices on the nodes a to d, an
 * empty node e, and nodes that acknowledge the coordinator's commands at once. Time advances in
 * steps of 100 ms. Each action is traced as a line of text, which does not depend on type names.
 */
final class MigrationScenario {
    static final SliceTransfer SLICE_0_A_TO_E = new SliceTransfer(0, "a", "e");
    static final SliceTransfer SLICE_1_B_TO_E = new SliceTransfer(1, "b", "e");

    /** At most one active migration and ten moves per second. */
    static final MigrationLimits LIMITS = limits(1, 10);

    /** Size of a range for which the move rate, not the byte rate, limits the start of copies. */
    static final long SMALL_RANGE_BYTES = 10;

    private static final MoveLimits MOVE_LIMITS =
            new MoveLimits(
                    9,
                    9,
                    9,
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(5),
                    Duration.ZERO,
                    Duration.ofSeconds(1),
                    2,
                    1);
    private static final Duration STEP = Duration.ofMillis(100);
    private static final long DIFFERING_KEY = 5;

    /** Nodes whose replicas differ from the others in {@link #DIFFERING_KEY}. */
    final Set<String> differingNodes = new HashSet<>();

    /** Commands that no node acknowledges. */
    final Set<HandoffCommand> unansweredCommands = new HashSet<>();

    final List<String> traceLines = new ArrayList<>();
    final List<JournalRecord> records = new ArrayList<>();
    final List<CoordinatorAction.SendCommand> sentCommands = new ArrayList<>();
    final List<MigrationAction.RequestDigests> digestRequests = new ArrayList<>();
    Coordinator coordinator;
    MigrationManager manager;
    Duration now = Duration.ofSeconds(100);
    private final MigrationLimits limits;
    private final long rangeBytes;
    private final Map<String, TargetLayout.NodeInfo> nodes = new LinkedHashMap<>();
    private final List<CoordinatorAction.SendCommand> unacknowledged = new ArrayList<>();

    MigrationScenario() {
        this(LIMITS, SMALL_RANGE_BYTES);
    }

    MigrationScenario(MigrationLimits limits, long rangeBytes) {
        this.limits = limits;
        this.rangeBytes = rangeBytes;
        for (String name : List.of("a", "b", "c", "d", "e")) {
            nodes.put(name, new TargetLayout.NodeInfo("z", Readiness.READY));
        }
        records.add(
                new JournalRecord.Snapshot(
                        Layout.initial(4, List.of("a", "b", "c", "d"), 3),
                        1,
                        0,
                        3,
                        List.of(),
                        null,
                        List.of()));
        restart();
    }

    /**
     * Limits with one copy at a time per migration, a stall timeout of 20 s, a warm-up period of 3
     * s, an observation period of 5 s, and router leases of 4 s plus 1 s of clock drift.
     */
    static MigrationLimits limits(int maxActiveMigrations, int movesPerSecond) {
        return new MigrationLimits(
                maxActiveMigrations,
                1,
                movesPerSecond,
                1000,
                Duration.ofSeconds(20),
                Duration.ofSeconds(3),
                Duration.ofSeconds(5),
                0.97,
                Duration.ofMillis(300),
                3,
                KeyRange.KEY_SPACE_SIZE >>> 9,
                Duration.ofSeconds(4),
                Duration.ofSeconds(1));
    }

    // ---- simulated cluster

    void setReadiness(String node, Readiness readiness) {
        nodes.put(node, new TargetLayout.NodeInfo("z", readiness));
        coordinator.onNodesListed(nodes, List.of());
    }

    /** Replaces coordinator and manager by new ones that start from the records alone. */
    void restart() {
        MoveJournalState moveState = new MoveJournalState(100);
        MigrationJournalState migrationState = new MigrationJournalState();
        moveState.setWorkflow(migrationState);
        records.forEach(moveState::apply);
        unacknowledged.clear();
        coordinator = new Coordinator(moveState, MOVE_LIMITS);
        coordinator.onNodesListed(nodes, List.of());
        manager = new MigrationManager(coordinator, migrationState, limits, now);
        trace("restart");
    }

    /** Replaces coordinator and manager by new ones that start from these records alone. */
    void restartFrom(List<JournalRecord> prefix) {
        records.clear();
        records.addAll(prefix);
        restart();
    }

    Layout layout() {
        return coordinator.state().layout();
    }

    // ---- operators' commands

    void createMigration(String member, SliceTransfer... transfers) throws OperatorErrorException {
        carryOut("migrate " + member, manager.createMigration(member, List.of(transfers), now));
    }

    void pause(long id, String detail) throws OperatorErrorException {
        carryOut("pause " + id, manager.pause(id, detail, now));
    }

    void resume(long id) throws OperatorErrorException {
        carryOut("resume " + id, manager.resume(id, now));
    }

    /** Passes the open checkpoint. */
    void passCheckpoint(long id) throws OperatorErrorException {
        carryOut("pass " + id, manager.passCheckpoint(id, migration(id).openCheckpoint(), now));
    }

    void rollBack(long id, String reason) throws OperatorErrorException {
        carryOut("roll back " + id, manager.rollBack(id, reason, now));
    }

    Migration migration(long id) {
        return manager.journalState().find(id).orElseThrow();
    }

    static MigrationError errorOf(Executable command) {
        return assertInstanceOf(
                MigrationError.class, assertThrows(OperatorErrorException.class, command).error());
    }

    // ---- simulated time

    void runFor(Duration span) {
        Duration end = now.plus(span);
        while (now.compareTo(end) < 0) {
            carryOut(manager.tick(now));
            carryOut(
                    coordinator.tick(now).stream()
                            .<MigrationAction>map(MigrationAction.Delegated::new)
                            .toList());
            acknowledgeCommands();
            now = now.plus(STEP);
        }
    }

    private void acknowledgeCommands() {
        List<CoordinatorAction.SendCommand> sent = List.copyOf(unacknowledged);
        unacknowledged.clear();
        sent.stream()
                .filter(command -> !unansweredCommands.contains(command.command()))
                .forEach(
                        command ->
                                coordinator.acknowledged(
                                        command.move(),
                                        command.node(),
                                        command.command(),
                                        command.slice()));
    }

    // ---- execution and trace of the manager's actions

    void trace(String line) {
        traceLines.add(now.toMillis() + " " + line);
    }

    void carryOut(String input, List<MigrationAction> actions) {
        trace("input: " + input);
        carryOut(actions);
    }

    private void carryOut(List<MigrationAction> actions) {
        for (MigrationAction action : actions) {
            if (action instanceof MigrationAction.RequestDigests request) {
                answer(request);
            } else if (action instanceof MigrationAction.Delegated delegated) {
                carryOut(delegated.action());
            }
        }
    }

    private void answer(MigrationAction.RequestDigests request) {
        trace(
                "digest request "
                        + request.requestId()
                        + " to "
                        + request.node()
                        + ": slice "
                        + request.slice()
                        + " "
                        + request.ranges().stream()
                                .map(range -> range.from() + "-" + range.to())
                                .toList());
        digestRequests.add(request);
        List<RangeDigest> digests =
                request.ranges().stream().map(range -> digest(request.node(), range)).toList();
        manager.onRangeDigests(request.requestId(), request.node(), digests, now);
    }

    private RangeDigest digest(String node, KeyRange range) {
        boolean differs =
                differingNodes.contains(node)
                        && range.from() <= DIFFERING_KEY
                        && DIFFERING_KEY < range.to();
        return new RangeDigest(range, 0, 7, differs ? 2 : 3, rangeBytes, differs ? "dd" : "ee");
    }

    private void carryOut(CoordinatorAction action) {
        if (action instanceof CoordinatorAction.AppendRecord append) {
            records.add(append.record());
            trace(
                    "record "
                            + (append.record() instanceof MigrationRecord migrationRecord
                                    ? format(migrationRecord)
                                    : "of moves"));
        } else if (action instanceof CoordinatorAction.SendCommand send) {
            sentCommands.add(send);
            unacknowledged.add(send);
            trace(
                    "command to "
                            + send.node()
                            + ": "
                            + format(send.command())
                            + " slice "
                            + send.slice()
                            + " of move "
                            + send.move()
                            + " version "
                            + send.version()
                            + " source "
                            + send.source());
        } else if (action instanceof CoordinatorAction.PublishLayout publish) {
            trace("publish version " + publish.layout().version);
        }
    }

    private static String format(HandoffCommand command) {
        return switch (command) {
            case COPY -> "COPY";
            case HOLD -> "HOLD";
            case SERVE -> "SERVE";
            case FENCE -> "FENCE";
            case DROP -> "DROP";
        };
    }

    private static String format(MigrationRecord migrationRecord) {
        if (migrationRecord instanceof MigrationRecord.Created created) {
            return "opened "
                    + created.id()
                    + " "
                    + created.member()
                    + " "
                    + created.transfers().stream()
                            .map(
                                    transfer ->
                                            transfer.slice()
                                                    + ":"
                                                    + transfer.source()
                                                    + ">"
                                                    + transfer.target())
                            .toList()
                    + " version "
                    + created.layoutVersion()
                    + " utility "
                    + created.utility()
                    + " at "
                    + created.at().toMillis();
        } else if (migrationRecord instanceof MigrationRecord.StateEntered entered) {
            return "entered "
                    + entered.id()
                    + " "
                    + entered.state().wireName()
                    + " at "
                    + entered.at().toMillis();
        } else if (migrationRecord instanceof MigrationRecord.MoveVerified verified) {
            return "verified "
                    + verified.id()
                    + " move "
                    + verified.moveId()
                    + " digest "
                    + verified.digest();
        } else if (migrationRecord instanceof MigrationRecord.CheckpointOpened opened) {
            return "opening "
                    + opened.id()
                    + " version "
                    + opened.layoutVersion()
                    + " digest "
                    + opened.digest()
                    + " at "
                    + opened.at().toMillis();
        } else if (migrationRecord instanceof MigrationRecord.CheckpointPassed passed) {
            return "passed " + passed.id() + " at " + passed.at().toMillis();
        } else if (migrationRecord instanceof MigrationRecord.Paused paused) {
            return "paused "
                    + paused.id()
                    + " "
                    + paused.reason().wireName()
                    + " at "
                    + paused.at().toMillis()
                    + ": "
                    + paused.detail();
        } else if (migrationRecord instanceof MigrationRecord.Resumed resumed) {
            return "resumed " + resumed.id() + " at " + resumed.at().toMillis();
        } else if (migrationRecord instanceof MigrationRecord.RollbackStarted started) {
            return "rollingBack "
                    + started.id()
                    + " at "
                    + started.at().toMillis()
                    + ": "
                    + started.reason();
        }
        throw new AssertionError(
                "expected a record that a running migration writes, got " + migrationRecord);
    }
}
