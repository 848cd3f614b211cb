package postbeam.slices;

import java.time.Duration;
import java.util.List;

/**
 * What the log of moves holds; {@link MoveJournalState} is what its records add up to. Times are
 * spans since 1970.
 */
public sealed interface JournalRecord {
    /** All that is known: the first record of each log. The target is null where there is none. */
    record Snapshot(
            Layout layout,
            long lastVersion,
            long lastMove,
            int lastSlice,
            List<MoveSnapshot> moves,
            TargetLayout target,
            List<Move.OldHolder> pendingDrops)
            implements JournalRecord {}

    /** A move as it stands; why is null where it is not abandoned. */
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

    /** A move is planned; the source is null where no data goes from one node to another. */
    record Planned(
            long id, LayoutChange change, List<Integer> newSlices, String source, Duration at)
            implements JournalRecord {}

    /** A move has come to this state. */
    record Advanced(long id, MoveState state, Duration at) implements JournalRecord {}

    /** The layout with the move's change, of this version, is in force. */
    record CutOver(long id, long version, Duration at) implements JournalRecord {}

    /** A move goes back, or is to be turned back once it is over. */
    record AbandonRequested(long id, String reason, Duration at) implements JournalRecord {}

    /** The layout without the move's change, under this version, is in force. */
    record RolledBack(long id, long version, Duration at) implements JournalRecord {}

    /**
     * A node has yet to be told that a slice is no longer its own; or, where it is not owed any
     * more, has dropped it.
     */
    record PendingDrop(Move.OldHolder oldHolder, boolean pending) implements JournalRecord {}

    /** A process has begun to write this log: records and orders of lower terms count no more. */
    record TermStarted(long term) implements JournalRecord {}

    /** What a workflow over moves writes among them; the {@link MoveJournalState} hands it on. */
    non-sealed interface WorkflowRecord extends JournalRecord {}

    /** Where the layout is to get; null: nowhere any more. */
    record TargetSet(TargetLayout target) implements JournalRecord {}
}
