package postbeam.slices;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the records of a log add up to: the layout in force, the moves under way, and where they
 * lead.
 */
public final class MoveJournalState {
    /** Moves that are over and still shown to operators. */
    private static final int FINISHED_MOVES_KEPT = 64;

    private final long historyVersions;
    private final Map<Long, Move> activeMoves = new LinkedHashMap<>();
    private final Deque<Move> finishedMoves = new ArrayDeque<>();
    private final Set<Move.OldHolder> pendingDrops = new LinkedHashSet<>();
    private Layout layout;
    private TargetLayout targetLayout;
    private long lastVersion;
    private long lastMove;
    private int lastSlice;
    private long term;
    private WorkflowState setWorkflow;

    /** What the records of a workflow over moves add up to. */
    public interface WorkflowState {
        /** An IllegalArgumentException says why a record can't follow on those before. */
        void apply(JournalRecord.WorkflowRecord record);

        /** Records that stand for all of it. */
        List<JournalRecord.WorkflowRecord> snapshotRecords();
    }

    /** A layout knows the slices of so many versions back. */
    public MoveJournalState(long history) {
        this.historyVersions = history;
    }

    /** Who hears the records of a workflow; without one they can't be read. */
    public void setWorkflow(WorkflowState next) {
        setWorkflow = next;
    }

    /** What follows on {@link #snapshot} where the log is written anew. */
    public List<JournalRecord> recordsAfterSnapshot() {
        List<JournalRecord> rest = new java.util.ArrayList<>();
        if (term > 0) {
            rest.add(new JournalRecord.TermStarted(term));
        }
        if (setWorkflow != null) {
            rest.addAll(setWorkflow.snapshotRecords());
        }
        return rest;
    }

    /** Of the process that wrote last; 0 where none was ever taken. */
    public long term() {
        return term;
    }

    /** Null before the first record. */
    public Layout layout() {
        return layout;
    }

    /** Null where there is none. */
    public TargetLayout target() {
        return targetLayout;
    }

    /** Those under way, the oldest first. */
    public Collection<Move> activeMoves() {
        return activeMoves.values();
    }

    /** The last ones that are over, the latest last. */
    public Collection<Move> finishedMoves() {
        return finishedMoves;
    }

    /** What nodes have yet to be told that they hold no more. */
    public Collection<Move.OldHolder> pendingDrops() {
        return pendingDrops;
    }

    /** Null where none of that number is under way. */
    public Move move(long id) {
        return activeMoves.get(id);
    }

    public long nextVersion() {
        return lastVersion + 1;
    }

    public long nextMove() {
        return lastMove + 1;
    }

    /**
     * Numbers are never used again: a call for a slice that is no more finds nobody who thinks it
     * means him.
     */
    public int nextSlice() {
        return lastSlice + 1;
    }

    /** Slices that a move under way is about. */
    public Set<Integer> busy() {
        Set<Integer> busy = new HashSet<>();
        activeMoves.values().forEach(move -> busy.addAll(move.change.slices()));
        activeMoves.values().forEach(move -> busy.addAll(move.newSlices));
        return busy;
    }

    public boolean busy(int slice) {
        return activeMoves.values().stream()
                .anyMatch(
                        move ->
                                move.change.slices().contains(slice)
                                        || move.newSlices.contains(slice));
    }

    /** The record that stands for all of it. */
    public JournalRecord.Snapshot snapshot() {
        return new JournalRecord.Snapshot(
                layout,
                lastVersion,
                lastMove,
                lastSlice,
                activeMoves.values().stream()
                        .map(
                                move ->
                                        new JournalRecord.MoveSnapshot(
                                                move.id,
                                                move.change,
                                                move.newSlices,
                                                move.destinations,
                                                move.oldHolders,
                                                move.plannedAt,
                                                move.state,
                                                move.stateSince,
                                                move.abandonReason,
                                                move.reverseWhenDone,
                                                move.mayBeFenced))
                        .toList(),
                targetLayout,
                List.copyOf(pendingDrops));
    }

    /** An IllegalArgumentException says why a record can't follow on those before. */
    public void apply(JournalRecord record) {
        if (record instanceof JournalRecord.Snapshot whole) {
            apply(whole);
        } else if (record instanceof JournalRecord.TermStarted office) {
            if (office.term() < term) {
                throw new IllegalArgumentException(
                        "term " + office.term() + " is not above " + term);
            }
            term = office.term();
        } else if (layout == null) {
            throw new IllegalArgumentException("a log that does not begin with a whole layout");
        } else if (record instanceof JournalRecord.TargetSet aimed) {
            targetLayout = aimed.target();
        } else if (record instanceof JournalRecord.Planned planned) {
            if (planned.id() <= lastMove) {
                throw new IllegalArgumentException("move " + planned.id() + " is planned twice");
            }
            lastMove = planned.id();
            planned.newSlices().forEach(number -> lastSlice = Math.max(lastSlice, number));
            Move move =
                    Move.plan(
                            planned.id(),
                            planned.change(),
                            planned.newSlices(),
                            planned.source(),
                            layout,
                            planned.at());
            activeMoves.put(move.id, move);
            // Who is to have a slice again is not told to drop it for what was once.
            pendingDrops.removeIf(
                    loss ->
                            move.destinations.stream()
                                    .anyMatch(
                                            gain ->
                                                    gain.slice() == loss.slice()
                                                            && gain.node().equals(loss.node())));
        } else if (record instanceof JournalRecord.WorkflowRecord other) {
            if (setWorkflow == null) {
                throw new IllegalArgumentException(
                        "migrations stand in this log: switch layouts.migration on");
            }
            setWorkflow.apply(other);
        } else if (record instanceof JournalRecord.PendingDrop one) {
            if (one.pending()) {
                pendingDrops.add(one.oldHolder());
            } else {
                pendingDrops.remove(one.oldHolder());
            }
        } else if (record instanceof JournalRecord.Advanced advanced) {
            Move move = requireMove(advanced.id());
            move.state = advanced.state();
            move.stateSince = advanced.at();
            move.mayBeFenced |= move.state == MoveState.FENCED;
            retireIfFinished(move);
        } else if (record instanceof JournalRecord.CutOver cut) {
            Move move = requireMove(cut.id());
            layout =
                    layout.withChange(
                            move.change,
                            move.newSlices,
                            advanceVersion(cut.version()),
                            cut.at(),
                            historyVersions);
            move.state = MoveState.CUT_OVER;
            move.stateSince = cut.at();
        } else if (record instanceof JournalRecord.AbandonRequested abandoning) {
            Move move = requireMove(abandoning.id());
            move.abandonReason = abandoning.reason();
            if (move.isCutOver()) {
                move.reverseWhenDone = true;
            } else {
                move.state = MoveState.ABANDONING;
                move.stateSince = abandoning.at();
            }
        } else if (record instanceof JournalRecord.RolledBack back) {
            Move move = requireMove(back.id());
            layout = layout.withVersion(advanceVersion(back.version()));
            move.state = MoveState.ABANDONED;
            move.stateSince = back.at();
            retireIfFinished(move);
        }
    }

    private void apply(JournalRecord.Snapshot whole) {
        layout = whole.layout();
        lastVersion = whole.lastVersion();
        lastMove = whole.lastMove();
        lastSlice = whole.lastSlice();
        targetLayout = whole.target();
        pendingDrops.clear();
        pendingDrops.addAll(whole.pendingDrops());
        activeMoves.clear();
        for (JournalRecord.MoveSnapshot standing : whole.moves()) {
            Move move =
                    new Move(
                            standing.id(),
                            standing.change(),
                            standing.newSlices(),
                            standing.destinations(),
                            standing.oldHolders(),
                            standing.plannedAt());
            move.state = standing.state();
            move.stateSince = standing.stateSince();
            move.abandonReason = standing.abandonReason();
            move.reverseWhenDone = standing.reverseWhenDone();
            move.mayBeFenced = standing.mayBeFenced();
            activeMoves.put(move.id, move);
        }
    }

    private long advanceVersion(long next) {
        if (next <= lastVersion) {
            throw new IllegalArgumentException("version " + next + " is not above " + lastVersion);
        }
        lastVersion = next;
        return next;
    }

    private void retireIfFinished(Move move) {
        if (move.state.isFinal()) {
            activeMoves.remove(move.id);
            finishedMoves.add(move);
            if (finishedMoves.size() > FINISHED_MOVES_KEPT) {
                finishedMoves.poll();
            }
        }
    }

    private Move requireMove(long id) {
        Move move = activeMoves.get(id);
        if (move == null) {
            throw new IllegalArgumentException("no move " + id + " is under way");
        }
        return move;
    }
}
