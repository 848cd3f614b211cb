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
    private final MigrationSimulation run;

    MigrationFinalChecks(MigrationSimulation run) {
        this.run = run;
    }

    void check() {
        MigrationJournalState migrations = run.chief.migrations.journalState();
        Layout layout = run.chief.coordinator.state().layout();
        for (Migration one : migrations.activeMigrations()) {
            run.breaks("progress: " + one + " does not end");
        }
        for (Move move : run.chief.coordinator.state().activeMoves()) {
            run.breaks("progress: " + move + " does not end");
        }
        for (Migration one : migrations.migrations()) {
            run.count("ended " + one.state().wireName());
            for (SliceTransfer hop : one.transfers) {
                Slice slice = layout.slice(hop.slice());
                boolean old = slice.heldBy(hop.source()) && !slice.heldBy(hop.target());
                boolean fresh = !slice.heldBy(hop.source()) && slice.heldBy(hop.target());
                if (one.state() == MigrationState.RETIRED
                        ? !fresh
                        : one.state() == MigrationState.ROLLED_BACK && !old) {
                    run.breaks(
                            one
                                    + " left slice "
                                    + hop.slice()
                                    + " on the wrong nodes "
                                    + slice.nodes());
                }
            }
        }
        for (Slice slice : layout.slices()) {
            Set<String> ran = new TreeSet<>();
            run.load.keys.forEach(
                    (hold, key) -> {
                        if (run.load.runs.containsKey(hold)
                                && slice.keys().from() <= key
                                && key < slice.keys().to()) {
                            ran.add(hold);
                        }
                    });
            for (SimulatedMigrationNode node : run.nodes) {
                SimulatedMigrationNode.Copy copy = node.copies.get(slice.number());
                if (slice.heldBy(node.name)) {
                    checkCopy(slice, node, copy, ran);
                } else if (copy != null) {
                    run.breaks(
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
        if (copy == null || copy.standing != SimulatedMigrationNode.Standing.SERVING) {
            run.breaks("node " + node.name + " does not serve slice " + slice.number());
            return;
        }
        Set<String> has = new TreeSet<>();
        copy.rows.values().forEach(row -> has.add(row.hold()));
        if (!has.equals(ran)) {
            Set<String> missing = new TreeSet<>(ran);
            missing.removeAll(has);
            boolean acknowledged = missing.stream().anyMatch(run.load.done::contains);
            run.breaks(
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
        MigrationJournalState again = new MigrationJournalState();
        moves.setWorkflow(again);
        try {
            for (SimulatedMigrationCoordinator.Stored stored : run.log) {
                if (stored.term() == 0 || stored.term() >= moves.term()) {
                    moves.apply(MoveRecordCodec.read(stored.bytes()));
                }
            }
        } catch (IOException | IllegalArgumentException e) {
            run.breaks("the log can't be read: " + e.getMessage());
            return;
        }
        List<JournalRecord.WorkflowRecord> here =
                run.chief.migrations.journalState().snapshotRecords();
        List<JournalRecord.WorkflowRecord> there = again.snapshotRecords();
        boolean same =
                here.size() == there.size()
                        && moves.layout().version == run.chief.coordinator.state().layout().version;
        for (int i = 0; same && i < here.size(); i++) {
            same =
                    Arrays.equals(
                            MoveRecordCodec.write(here.get(i)),
                            MoveRecordCodec.write(there.get(i)));
        }
        if (!same) {
            run.breaks("replaying the log gives another state than the coordinator has");
        }
    }
}
