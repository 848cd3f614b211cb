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
public final class Book {
    /** Moves that are over and still shown to operators. */
    private static final int OVER_KEPT = 64;

    private final long history;
    private final Map<Long, Move> moves = new LinkedHashMap<>();
    private final Deque<Move> over = new ArrayDeque<>();
    private final Set<Move.Loss> owed = new LinkedHashSet<>();
    private Layout layout;
    private Target target;
    private long lastVersion;
    private long lastMove;
    private int lastSlice;
    private long term;
    private Others others;

    /** What the records of a workflow over moves add up to. */
    public interface Others {
        /** An IllegalArgumentException says why a record can't follow on those before. */
        void apply(Logged.Other record);

        /** Records that stand for all of it. */
        List<Logged.Other> whole();
    }

    /** A layout knows the slices of so many versions back. */
    public Book(long history) {
        this.history = history;
    }

    /** Who hears the records of a workflow; without one they can't be read. */
    public void others(Others next) {
        others = next;
    }

    /** What follows on {@link #whole} where the log is written anew. */
    public List<Logged> rest() {
        List<Logged> rest = new java.util.ArrayList<>();
        if (term > 0) {
            rest.add(new Logged.Office(term));
        }
        if (others != null) {
            rest.addAll(others.whole());
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
    public Target target() {
        return target;
    }

    /** Those under way, the oldest first. */
    public Collection<Move> moves() {
        return moves.values();
    }

    /** The last ones that are over, the latest last. */
    public Collection<Move> over() {
        return over;
    }

    /** What nodes have yet to be told that they hold no more. */
    public Collection<Move.Loss> owed() {
        return owed;
    }

    /** Null where none of that number is under way. */
    public Move move(long id) {
        return moves.get(id);
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
        moves.values().forEach(move -> busy.addAll(move.change.slices()));
        moves.values().forEach(move -> busy.addAll(move.births));
        return busy;
    }

    public boolean busy(int slice) {
        return moves.values().stream()
                .anyMatch(
                        move ->
                                move.change.slices().contains(slice)
                                        || move.births.contains(slice));
    }

    /** The record that stands for all of it. */
    public Logged.Whole whole() {
        return new Logged.Whole(
                layout,
                lastVersion,
                lastMove,
                lastSlice,
                moves.values().stream()
                        .map(
                                move ->
                                        new Logged.Standing(
                                                move.id,
                                                move.change,
                                                move.births,
                                                move.gains,
                                                move.losses,
                                                move.plannedAt,
                                                move.state,
                                                move.since,
                                                move.why,
                                                move.turnsBack,
                                                move.fenced))
                        .toList(),
                target,
                List.copyOf(owed));
    }

    /** An IllegalArgumentException says why a record can't follow on those before. */
    public void apply(Logged record) {
        if (record instanceof Logged.Whole whole) {
            apply(whole);
        } else if (record instanceof Logged.Office office) {
            if (office.term() < term) {
                throw new IllegalArgumentException(
                        "term " + office.term() + " is not above " + term);
            }
            term = office.term();
        } else if (layout == null) {
            throw new IllegalArgumentException("a log that does not begin with a whole layout");
        } else if (record instanceof Logged.Aimed aimed) {
            target = aimed.target();
        } else if (record instanceof Logged.Planned planned) {
            if (planned.id() <= lastMove) {
                throw new IllegalArgumentException("move " + planned.id() + " is planned twice");
            }
            lastMove = planned.id();
            planned.births().forEach(number -> lastSlice = Math.max(lastSlice, number));
            Move move =
                    Move.planned(
                            planned.id(),
                            planned.change(),
                            planned.births(),
                            planned.source(),
                            layout,
                            planned.at());
            moves.put(move.id, move);
            // Who is to have a slice again is not told to drop it for what was once.
            owed.removeIf(
                    loss ->
                            move.gains.stream()
                                    .anyMatch(
                                            gain ->
                                                    gain.slice() == loss.slice()
                                                            && gain.node().equals(loss.node())));
        } else if (record instanceof Logged.Other other) {
            if (others == null) {
                throw new IllegalArgumentException(
                        "migrations stand in this log: switch layouts.migration on");
            }
            others.apply(other);
        } else if (record instanceof Logged.Owed one) {
            if (one.owed()) {
                owed.add(one.loss());
            } else {
                owed.remove(one.loss());
            }
        } else if (record instanceof Logged.Advanced advanced) {
            Move move = needed(advanced.id());
            move.state = advanced.state();
            move.since = advanced.at();
            move.fenced |= move.state == MoveState.FENCED;
            ended(move);
        } else if (record instanceof Logged.CutOver cut) {
            Move move = needed(cut.id());
            layout =
                    layout.after(
                            move.change, move.births, version(cut.version()), cut.at(), history);
            move.state = MoveState.CUT_OVER;
            move.since = cut.at();
        } else if (record instanceof Logged.Abandoning abandoning) {
            Move move = needed(abandoning.id());
            move.why = abandoning.why();
            if (move.cutOver()) {
                move.turnsBack = true;
            } else {
                move.state = MoveState.ABANDONING;
                move.since = abandoning.at();
            }
        } else if (record instanceof Logged.Back back) {
            Move move = needed(back.id());
            layout = layout.again(version(back.version()));
            move.state = MoveState.ABANDONED;
            move.since = back.at();
            ended(move);
        }
    }

    private void apply(Logged.Whole whole) {
        layout = whole.layout();
        lastVersion = whole.lastVersion();
        lastMove = whole.lastMove();
        lastSlice = whole.lastSlice();
        target = whole.target();
        owed.clear();
        owed.addAll(whole.owed());
        moves.clear();
        for (Logged.Standing standing : whole.moves()) {
            Move move =
                    new Move(
                            standing.id(),
                            standing.change(),
                            standing.births(),
                            standing.gains(),
                            standing.losses(),
                            standing.plannedAt());
            move.state = standing.state();
            move.since = standing.since();
            move.why = standing.why();
            move.turnsBack = standing.turnsBack();
            move.fenced = standing.fenced();
            moves.put(move.id, move);
        }
    }

    private long version(long next) {
        if (next <= lastVersion) {
            throw new IllegalArgumentException("version " + next + " is not above " + lastVersion);
        }
        lastVersion = next;
        return next;
    }

    private void ended(Move move) {
        if (move.state.over()) {
            moves.remove(move.id);
            over.add(move);
            if (over.size() > OVER_KEPT) {
                over.poll();
            }
        }
    }

    private Move needed(long id) {
        Move move = moves.get(id);
        if (move == null) {
            throw new IllegalArgumentException("no move " + id + " is under way");
        }
        return move;
    }
}
