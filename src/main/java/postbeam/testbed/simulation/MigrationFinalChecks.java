package postbeam.testbed.simulation;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import postbeam.layoutservice.MoveRecordCodec;
import postbeam.migration.Migration;
import postbeam.migration.MigrationJournalState;
import postbeam.migration.MigrationState;
import postbeam.migration.SliceTransfer;
import postbeam.slices.JournalRecord;
import postbeam.slices.Layout;
import postbeam.slices.Move;
import postbeam.slices.MoveJournalState;
import postbeam.slices.Slice;

/** Checks the end of a simulated migration run: progress, replicas, rows and the journal. */
final class MigrationFinalChecks {
    private final MigrationSimulation simulation;

    MigrationFinalChecks(MigrationSimulation simulation) {
        this.simulation = simulation;
    }

    void check() {
        MigrationJournalState migrations = simulation.activeCoordinator.migrations.journalState();
        Layout layout = simulation.activeCoordinator.coordinator.state().layout();
        for (Migration migration : migrations.activeMigrations()) {
            simulation.addViolation("progress: " + migration + " does not end");
        }
        for (Move move : simulation.activeCoordinator.coordinator.state().activeMoves()) {
            simulation.addViolation("progress: " + move + " does not end");
        }
        for (Migration migration : migrations.migrations()) {
            simulation.count("ended " + migration.state().wireName());
            for (SliceTransfer transfer : migration.transfers) {
                Slice slice = layout.slice(transfer.slice());
                boolean onSource =
                        slice.heldBy(transfer.source()) && !slice.heldBy(transfer.target());
                boolean onTarget =
                        !slice.heldBy(transfer.source()) && slice.heldBy(transfer.target());
                if (migration.state() == MigrationState.RETIRED
                        ? !onTarget
                        : migration.state() == MigrationState.ROLLED_BACK && !onSource) {
                    simulation.addViolation(
                            migration
                                    + " left slice "
                                    + transfer.slice()
                                    + " on the wrong nodes "
                                    + slice.nodes());
                }
            }
        }
        for (Slice slice : layout.slices()) {
            Set<String> ran = new TreeSet<>();
            simulation.load.keyByHold.forEach(
                    (hold, key) -> {
                        if (simulation.load.runCounts.containsKey(hold)
                                && slice.keys().from() <= key
                                && key < slice.keys().to()) {
                            ran.add(hold);
                        }
                    });
            for (SimulatedMigrationNode node : simulation.nodes) {
                SimulatedMigrationNode.Copy copy = node.copies.get(slice.number());
                if (slice.heldBy(node.name)) {
                    checkCopy(slice, node, copy, ran);
                } else if (copy != null) {
                    simulation.addViolation(
                            "node " + node.name + " still has a copy of slice " + slice.number());
                }
            }
        }
        checkReplay();
    }

    private void checkCopy(
            Slice slice,
            SimulatedMigrationNode node,
            SimulatedMigrationNode.Copy copy,
            Set<String> ran) {
        if (copy == null || copy.state != SimulatedMigrationNode.CopyState.SERVING) {
            simulation.addViolation(
                    "node " + node.name + " does not serve slice " + slice.number());
            return;
        }
        Set<String> present = new TreeSet<>();
        copy.rows.values().forEach(row -> present.add(row.hold()));
        if (!present.equals(ran)) {
            Set<String> missing = new TreeSet<>(ran);
            missing.removeAll(present);
            boolean acknowledged =
                    missing.stream().anyMatch(simulation.load.acknowledged::contains);
            simulation.addViolation(
                    "node "
                            + node.name
                            + " serves slice "
                            + slice.number()
                            + " without the rows of holds "
                            + missing
                            + (acknowledged ? ", some of which were acknowledged to clients" : ""));
        }
    }

    /** Checks that the log replays to the state that the coordinator has. */
    private void checkReplay() {
        MoveJournalState moves = new MoveJournalState(50);
        MigrationJournalState replayed = new MigrationJournalState();
        moves.setWorkflow(replayed);
        try {
            for (SimulatedMigrationCoordinator.Stored stored : simulation.log) {
                if (stored.term() == 0 || stored.term() >= moves.term()) {
                    moves.apply(MoveRecordCodec.read(stored.bytes()));
                }
            }
        } catch (IOException | IllegalArgumentException e) {
            simulation.addViolation("the log can't be read: " + e.getMessage());
            return;
        }
        List<JournalRecord.WorkflowRecord> actual =
                simulation.activeCoordinator.migrations.journalState().snapshotRecords();
        List<JournalRecord.WorkflowRecord> expected = replayed.snapshotRecords();
        boolean equal =
                actual.size() == expected.size()
                        && moves.layout().version
                                == simulation
                                        .activeCoordinator
                                        .coordinator
                                        .state()
                                        .layout()
                                        .version;
        for (int i = 0; equal && i < actual.size(); i++) {
            equal =
                    Arrays.equals(
                            MoveRecordCodec.write(actual.get(i)),
                            MoveRecordCodec.write(expected.get(i)));
        }
        if (!equal) {
            simulation.addViolation(
                    "replaying the log gives another state than the coordinator has");
        }
    }
}
