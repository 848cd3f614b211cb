package postbeam.slices;

import java.time.Duration;
import java.util.List;

/**
 * A record of the journal; {@link MoveJournalState} is what the records add up to. Times are since
 * 1970.
 */
public sealed interface JournalRecord {
    /**
     * All that is known: the first record of each journal.
     *
     * @param lastVersion the highest layout version used so far
     * @param lastMove the highest number of a move
     * @param lastSlice the highest number of a slice
     * @param moves the moves under way
     * @param target null where there is none
     * @param pendingDrops what nodes have yet to drop
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
     * @param abandonReason null where it is not abandoned
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
     * @param newSlices the numbers of the slices that it creates
     * @param source null where no data goes from one node to another
     */
    record Planned(
            long id, LayoutChange change, List<Integer> newSlices, String source, Duration at)
            implements JournalRecord {}

    /** A move has come to a state. */
    record Advanced(long id, MoveState state, Duration at) implements JournalRecord {}

    /** The layout with the move's change is in force, under this version. */
    record CutOver(long id, long version, Duration at) implements JournalRecord {}

    /** A move is rolled back, or is reversed once it is completed where it is cut over already. */
    record AbandonRequested(long id, String reason, Duration at) implements JournalRecord {}

    /** The layout without the move's change is in force, under this version. */
    record RolledBack(long id, long version, Duration at) implements JournalRecord {}

    /**
     * A node has yet to drop a slice that is no longer its own.
     *
     * @param pending false once it has dropped it
     */
    record PendingDrop(Move.OldHolder oldHolder, boolean pending) implements JournalRecord {}

    /**
     * A process has begun to write this journal: records and commands of lower terms count no more.
     */
    record TermStarted(long term) implements JournalRecord {}

    /** A record of a workflow over moves; {@link MoveJournalState} hands it on. */
    non-sealed interface WorkflowRecord extends JournalRecord {}

    /**
     * Where the layout is to get.
     *
     * @param target null: nowhere any more
     */
    record TargetSet(TargetLayout target) implements JournalRecord {}
}
