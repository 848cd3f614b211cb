package postbeam.slices;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The state that results from the journal's records: the layout in force, the moves under way and
 * the target. Only {@link #apply} changes it, so that replaying the journal restores the same state
 * after a restart. Not thread-safe.
 */
public final class MoveJournalState {
    /** How many finished moves are kept, to be shown to operators. */
    private static final int FINISHED_MOVES_KEPT = 64;

    private final long historyVersions;
    private final Map<Long, Move> activeMoves = new LinkedHashMap<>();
    private final Deque<Move> finishedMoves = new ArrayDeque<>();
    private final Set<Move.OldHolder> pendingDrops = new LinkedHashSet<>();
    private Layout layout;
    private TargetLayout target;
    private long lastVersion;
    private long lastMove;
    private int lastSlice;
    private long term;
    private WorkflowState workflow;

    /** The state that results from the records of a workflow over moves. */
    public interface WorkflowState {
        /**
         * Applies the next record.
         *
         * @throws IllegalArgumentException if the record contradicts the records before it
         */
        void apply(JournalRecord.WorkflowRecord record);

        /**
         * Records that restore the current state; compaction writes them in place of all earlier
         * workflow records.
         */
        List<JournalRecord.WorkflowRecord> snapshotRecords();
    }

    /**
     * Creates an empty state.
     *
     * @param historyVersions how many versions back a layout can resolve slices
     */
    public MoveJournalState(long historyVersions) {
        this.historyVersions = historyVersions;
    }

    /** Sets the state that workflow records are applied to; null if none are expected. */
    public void setWorkflow(WorkflowState newWorkflow) {
        workflow = newWorkflow;
    }

    // ---- the state

    /** The term of the process that wrote the journal last; 0 if terms are not used. */
    public long term() {
        return term;
    }

    /** The layout in force; null before the first record. */
    public Layout layout() {
        return layout;
    }

    /** The target layout; null if there is none. */
    public TargetLayout target() {
        return target;
    }

    /** The moves under way, oldest first. */
    public Collection<Move> activeMoves() {
        return activeMoves.values();
    }

    /** The most recently finished moves, the latest last. */
    public Collection<Move> finishedMoves() {
        return finishedMoves;
    }

    /** The slices that nodes no longer hold but whose data they have not yet dropped. */
    public Collection<Move.OldHolder> pendingDrops() {
        return pendingDrops;
    }

    /** The move under way with this id; null if there is none. */
    public Move move(long id) {
        return activeMoves.get(id);
    }

    /** The version that the next layout gets. */
    public long nextVersion() {
        return lastVersion + 1;
    }

    /** The id that the next move gets. */
    public long nextMove() {
        return lastMove + 1;
    }

    /**
     * The number that the next new slice gets. Numbers are never reused, so a late call for an old
     * slice can't reach another slice.
     */
    public int nextSlice() {
        return lastSlice + 1;
    }

    /** The slices that the moves under way change or create. */
    public Set<Integer> busySlices() {
        Set<Integer> busy = new HashSet<>();
        activeMoves
                .values()
                .forEach(
                        move -> {
                            busy.addAll(move.change.slices());
                            busy.addAll(move.newSlices);
                        });
        return busy;
    }

    /** Whether a move under way changes or creates the slice. */
    public boolean isBusy(int slice) {
        return activeMoves.values().stream().anyMatch(move -> move.concerns(slice));
    }

    // ---- snapshots

    /** A record that replaces all earlier records except those of terms and workflows. */
    public JournalRecord.Snapshot snapshot() {
        return new JournalRecord.Snapshot(
                layout,
                lastVersion,
                lastMove,
                lastSlice,
                activeMoves.values().stream().map(Move::snapshot).toList(),
                target,
                List.copyOf(pendingDrops));
    }

    /** The records that follow {@link #snapshot} when the journal is compacted. */
    public List<JournalRecord> recordsAfterSnapshot() {
        List<JournalRecord> records = new ArrayList<>();
        if (term > 0) {
            records.add(new JournalRecord.TermStarted(term));
        }
        if (workflow != null) {
            records.addAll(workflow.snapshotRecords());
        }
        return records;
    }

    // ---- records

    /**
     * Applies the next record.
     *
     * @throws IllegalArgumentException if the record contradicts the records before it
     */
    public void apply(JournalRecord record) {
        if (record instanceof JournalRecord.Snapshot snapshot) {
            restore(snapshot);
        } else if (record instanceof JournalRecord.TermStarted started) {
            startTerm(started);
        } else if (layout == null) {
            throw new IllegalArgumentException(
                    "the journal must begin with a Snapshot record, got "
                            + record.getClass().getSimpleName());
        } else if (record instanceof JournalRecord.WorkflowRecord workflowRecord) {
            applyToWorkflow(workflowRecord);
        } else if (record instanceof JournalRecord.TargetSet targetSet) {
            target = targetSet.target();
        } else if (record instanceof JournalRecord.Planned planned) {
            plan(planned);
        } else if (record instanceof JournalRecord.Advanced advanced) {
            advance(advanced);
        } else if (record instanceof JournalRecord.CutOver cutOver) {
            cutOver(cutOver);
        } else if (record instanceof JournalRecord.AbandonRequested abandon) {
            requireMove(abandon.id()).abandon(abandon.reason(), abandon.at());
        } else if (record instanceof JournalRecord.RolledBack rolledBack) {
            rollBack(rolledBack);
        } else if (record instanceof JournalRecord.PendingDrop drop) {
            setPendingDrop(drop);
        }
    }

    private void restore(JournalRecord.Snapshot snapshot) {
        layout = snapshot.layout();
        lastVersion = snapshot.lastVersion();
        lastMove = snapshot.lastMove();
        lastSlice = snapshot.lastSlice();
        target = snapshot.target();
        pendingDrops.clear();
        pendingDrops.addAll(snapshot.pendingDrops());
        activeMoves.clear();
        snapshot.moves().forEach(move -> activeMoves.put(move.id(), Move.restore(move)));
    }

    private void startTerm(JournalRecord.TermStarted started) {
        if (started.term() < term) {
            throw new IllegalArgumentException(
                    "term " + started.term() + " is below the current term " + term);
        }
        term = started.term();
    }

    private void applyToWorkflow(JournalRecord.WorkflowRecord record) {
        if (workflow == null) {
            throw new IllegalArgumentException(
                    "the journal has migration records: layouts.migration.enabled must be true");
        }
        workflow.apply(record);
    }

    private void plan(JournalRecord.Planned planned) {
        if (planned.id() <= lastMove) {
            throw new IllegalArgumentException(
                    "the id of planned move " + planned.id() + " is not above " + lastMove);
        }
        lastMove = planned.id();
        planned.newSlices().forEach(number -> lastSlice = Math.max(lastSlice, number));
        Move move = Move.plan(planned, layout);
        activeMoves.put(move.id, move);
        // A node that acquires a slice again must not drop its old data of the slice.
        pendingDrops.removeIf(drop -> move.hasDestination(drop.node(), drop.slice()));
    }

    private void advance(JournalRecord.Advanced advanced) {
        Move move = requireMove(advanced.id());
        move.enter(advanced.state(), advanced.at());
        archiveIfFinished(move);
    }

    private void cutOver(JournalRecord.CutOver cutOver) {
        Move move = requireMove(cutOver.id());
        layout =
                layout.withChange(
                        move.change,
                        move.newSlices,
                        advanceVersion(cutOver.version()),
                        cutOver.at(),
                        historyVersions);
        move.enter(MoveState.CUT_OVER, cutOver.at());
    }

    private void rollBack(JournalRecord.RolledBack rolledBack) {
        Move move = requireMove(rolledBack.id());
        layout = layout.withVersion(advanceVersion(rolledBack.version()));
        move.enter(MoveState.ABANDONED, rolledBack.at());
        archiveIfFinished(move);
    }

    private void setPendingDrop(JournalRecord.PendingDrop drop) {
        if (drop.pending()) {
            pendingDrops.add(drop.oldHolder());
        } else {
            pendingDrops.remove(drop.oldHolder());
        }
    }

    private long advanceVersion(long version) {
        if (version <= lastVersion) {
            throw new IllegalArgumentException(
                    "layout version " + version + " is not above " + lastVersion);
        }
        lastVersion = version;
        return version;
    }

    private Move requireMove(long id) {
        Move move = activeMoves.get(id);
        if (move == null) {
            throw new IllegalArgumentException("no move " + id + " is under way");
        }
        return move;
    }

    private void archiveIfFinished(Move move) {
        if (move.state().isFinal()) {
            activeMoves.remove(move.id);
            finishedMoves.add(move);
            if (finishedMoves.size() > FINISHED_MOVES_KEPT) {
                finishedMoves.poll();
            }
        }
    }
}
