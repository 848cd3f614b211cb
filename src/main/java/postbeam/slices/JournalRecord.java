package postbeam.slices;

import java.time.Duration;
import java.util.List;

/**
 * A record of the move journal; applied in order, the records result in a {@link MoveJournalState}.
 * Times are durations since the Unix epoch.
 */
public sealed interface JournalRecord {
    /**
     * The complete state of layout and moves: the first record of each journal.
     *
     * @param lastVersion the highest layout version used so far
     * @param lastMove the highest move id used so far
     * @param lastSlice the highest slice number used so far
     * @param moves the moves under way
     * @param target null if there is none
     * @param pendingDrops the slices that nodes have yet to drop
     */
    record Snapshot(
            Layout layout,
            long lastVersion,
            long lastMove,
            int lastSlice,
            List<MoveSnapshot> moves,
            TargetLayout target,
            List<Move.OldHolder> pendingDrops)
            implements JournalRecord {}

    /**
     * A move under way, as part of a snapshot.
     *
     * @param newSlices the numbers of the slices that the move creates
     * @param abandonReason null if the move is not abandoned
     * @param reverseWhenDone whether the reverse move is planned once this one is completed
     * @param mayBeFenced whether old holders may have been fenced, so that a rollback must let them
     *     serve again
     */
    record MoveSnapshot(
            long id,
            LayoutChange change,
            List<Integer> newSlices,
            List<Move.Destination> destinations,
            List<Move.OldHolder> oldHolders,
            Duration plannedAt,
            MoveState state,
            Duration stateSince,
            String abandonReason,
            boolean reverseWhenDone,
            boolean mayBeFenced) {}

    /**
     * A move is planned.
     *
     * @param newSlices the numbers of the slices that the move creates
     * @param source the node to copy data from; null if no data goes from one node to another
     */
    record Planned(
            long id, LayoutChange change, List<Integer> newSlices, String source, Duration at)
            implements JournalRecord {}

    /** A move has entered a state. */
    record Advanced(long id, MoveState state, Duration at) implements JournalRecord {}

    /** The layout with the move's change has come into force, under this version. */
    record CutOver(long id, long version, Duration at) implements JournalRecord {}

    /** A move is to be rolled back or, if it is cut over already, to be reversed once completed. */
    record AbandonRequested(long id, String reason, Duration at) implements JournalRecord {}

    /** The layout without the move's change has come into force, under this version. */
    record RolledBack(long id, long version, Duration at) implements JournalRecord {}

    /**
     * A node has yet to drop the data of a slice that is not assigned to it any more.
     *
     * @param pending false once the node has dropped it
     */
    record PendingDrop(Move.OldHolder oldHolder, boolean pending) implements JournalRecord {}

    /**
     * A process has started to write this journal: records and commands of lower terms are no
     * longer valid.
     */
    record TermStarted(long term) implements JournalRecord {}

    /**
     * A record of a workflow over moves; {@link MoveJournalState} passes it to its {@link
     * MoveJournalState.WorkflowState}.
     */
    non-sealed interface WorkflowRecord extends JournalRecord {}

    /**
     * The target layout was set or cleared.
     *
     * @param target null if it was cleared
     */
    record TargetSet(TargetLayout target) implements JournalRecord {}
}
