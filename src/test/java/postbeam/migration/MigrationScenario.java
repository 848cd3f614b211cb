package postbeam.migration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
 * Four slices on the nodes a to d, an empty node e, and a coordinator whose commands are answered
 * at once. Time goes in steps of 100 ms, and each action is written down as one line of text, which
 * does not depend on the names of types.
 */
final class MigrationScenario {
    private static final MoveLimits MOVES =
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
    private static final MigrationLimits LIMITS =
            new MigrationLimits(
                    2,
                    1,
                    2,
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
    private static final Duration STEP = Duration.ofMillis(100);

    final Map<String, TargetLayout.NodeInfo> nodes = new LinkedHashMap<>();

    /** Nodes whose copies differ from the others in one key. */
    final Set<String> differing = new HashSet<>();

    /** Commands that no node answers. */
    final Set<HandoffCommand> unanswered = new HashSet<>();

    final List<String> lines = new ArrayList<>();
    Coordinator coordinator;
    MigrationManager migrations;
    Duration now = Duration.ofSeconds(100);
    private final List<JournalRecord> records = new ArrayList<>();
    private final List<CoordinatorAction.SendCommand> commands = new ArrayList<>();

    MigrationScenario() {
        for (String name : List.of("a", "b", "c", "d", "e")) {
            setReadiness(name, Readiness.READY);
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

    void setReadiness(String node, Readiness readiness) {
        nodes.put(node, new TargetLayout.NodeInfo("z", readiness));
        if (coordinator != null) {
            coordinator.listed(nodes, List.of());
        }
    }

    /** A successor starts from the records alone. */
    void restart() {
        MoveJournalState journalState = new MoveJournalState(100);
        MigrationJournalState migrationBook = new MigrationJournalState();
        journalState.workflow(migrationBook);
        records.forEach(journalState::apply);
        coordinator = new Coordinator(journalState, MOVES);
        coordinator.listed(nodes, List.of());
        migrations = new MigrationManager(coordinator, migrationBook, LIMITS, now);
        note("restart");
    }

    Migration migration(long id) {
        return migrations.journalState().find(id);
    }

    void note(String line) {
        lines.add(now.toMillis() + " " + line);
    }

    void carryOut(String order, List<MigrationAction> doings) {
        note("order: " + order);
        carryOut(doings);
    }

    void run(Duration span) {
        Duration end = now.plus(span);
        while (now.compareTo(end) < 0) {
            carryOut(migrations.tick(now));
            List<MigrationAction> doings = new ArrayList<>();
            coordinator.tick(now).forEach(act -> doings.add(new MigrationAction.Delegated(act)));
            carryOut(doings);
            List<CoordinatorAction.SendCommand> given = List.copyOf(commands);
            commands.clear();
            given.stream()
                    .filter(tell -> !unanswered.contains(tell.command()))
                    .forEach(
                            tell ->
                                    coordinator.acknowledged(
                                            tell.move(),
                                            tell.node(),
                                            tell.command(),
                                            tell.slice()));
            now = now.plus(STEP);
        }
    }

    private void carryOut(List<MigrationAction> doings) {
        for (MigrationAction doing : doings) {
            if (doing instanceof MigrationAction.RequestDigests ask) {
                note(
                        "ask "
                                + ask.requestId()
                                + " "
                                + ask.node()
                                + " slice "
                                + ask.slice()
                                + " "
                                + ask.ranges().stream()
                                        .map(range -> range.from() + "-" + range.to())
                                        .toList());
                List<RangeDigest> said =
                        ask.ranges().stream().map(range -> said(ask.node(), range)).toList();
                migrations.onRangeDigests(ask.requestId(), ask.node(), said, now);
            } else if (doing instanceof MigrationAction.Delegated of
                    && of.action() instanceof CoordinatorAction.AppendRecord write) {
                records.add(write.record());
                note(
                        "record "
                                + (write.record() instanceof MigrationRecord noted
                                        ? text(noted)
                                        : "of moves"));
            } else if (doing instanceof MigrationAction.Delegated of
                    && of.action() instanceof CoordinatorAction.SendCommand tell) {
                commands.add(tell);
                note(
                        "command to "
                                + tell.node()
                                + ": "
                                + text(tell.command())
                                + " slice "
                                + tell.slice()
                                + " of move "
                                + tell.move()
                                + " version "
                                + tell.version()
                                + " source "
                                + tell.source());
            } else if (doing instanceof MigrationAction.Delegated of
                    && of.action() instanceof CoordinatorAction.PublishLayout publish) {
                note("publish version " + publish.layout().version);
            }
        }
    }

    private RangeDigest said(String node, KeyRange range) {
        boolean differs = differing.contains(node) && range.from() <= 5 && 5 < range.to();
        return new RangeDigest(range, 0, 7, differs ? 2 : 3, 600, differs ? "dd" : "ee");
    }

    private static String text(HandoffCommand command) {
        return switch (command) {
            case COPY -> "COPY";
            case HOLD -> "HOLD";
            case SERVE -> "SERVE";
            case FENCE -> "FENCE";
            case DROP -> "DROP";
        };
    }

    private static String text(MigrationRecord noted) {
        if (noted instanceof MigrationRecord.Created one) {
            return "opened "
                    + one.id()
                    + " "
                    + one.member()
                    + " "
                    + one.transfers().stream()
                            .map(hop -> hop.slice() + ":" + hop.source() + ">" + hop.target())
                            .toList()
                    + " version "
                    + one.layoutVersion()
                    + " utility "
                    + one.utility()
                    + " at "
                    + one.at().toMillis();
        } else if (noted instanceof MigrationRecord.StateEntered one) {
            return "entered "
                    + one.id()
                    + " "
                    + one.state().wireName()
                    + " at "
                    + one.at().toMillis();
        } else if (noted instanceof MigrationRecord.MoveVerified one) {
            return "verified " + one.id() + " move " + one.moveId() + " digest " + one.digest();
        } else if (noted instanceof MigrationRecord.CheckpointOpened one) {
            return "opening "
                    + one.id()
                    + " version "
                    + one.layoutVersion()
                    + " digest "
                    + one.digest()
                    + " at "
                    + one.at().toMillis();
        } else if (noted instanceof MigrationRecord.CheckpointPassed one) {
            return "passed " + one.id() + " at " + one.at().toMillis();
        } else if (noted instanceof MigrationRecord.Paused one) {
            return "paused "
                    + one.id()
                    + " "
                    + one.reason().wireName()
                    + " at "
                    + one.at().toMillis()
                    + ": "
                    + one.detail();
        } else if (noted instanceof MigrationRecord.Resumed one) {
            return "resumed " + one.id() + " at " + one.at().toMillis();
        } else if (noted instanceof MigrationRecord.RollbackStarted one) {
            return "rollingBack " + one.id() + " at " + one.at().toMillis() + ": " + one.reason();
        }
        throw new AssertionError("a record that is not written while migrations go on: " + noted);
    }
}
