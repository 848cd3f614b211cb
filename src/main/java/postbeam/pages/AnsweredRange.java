package postbeam.pages;

import java.util.List;
import postbeam.slices.KeyRange;

/** Keys that one answer covered, and the rows that it had of them. */
final class AnsweredRange {
    /** The answer of the first round that covered these keys; itself in the first round. */
    final AnsweredRange root;

    final KeyRange range;
    final List<Row> rows;

    /** Position of the last row that was seen; null where none was. */
    final RowPosition lastSeen;

    /**
     * No unseen row comes before it; null where there is none, or where the keys were fetched again
     * since.
     */
    private RowPosition nextUnseen;

    private AnsweredRange(
            AnsweredRange root,
            KeyRange range,
            List<Row> rows,
            RowPosition lastSeen,
            RowPosition nextUnseen) {
        this.root = root == null ? this : root;
        this.range = range;
        this.rows = rows;
        this.lastSeen = lastSeen;
        this.nextUnseen = nextUnseen;
    }

    /** An answer of the first round. */
    static AnsweredRange ofFirstRound(PartialPage answer) {
        return new AnsweredRange(
                null,
                answer.range(),
                answer.rows(),
                answer.lastPosition(null),
                answer.nextPosition());
    }

    /** The part of a later answer that has keys of this range. */
    AnsweredRange followedBy(PartialPage answer, KeyRange keys, SortOrder order) {
        List<Row> ownRows =
                answer.rows().stream()
                        .filter(
                                row ->
                                        row.position().key() >= keys.from()
                                                && row.position().key() < keys.to())
                        .toList();
        RowPosition last = order.later(lastSeen, answer.lastPosition(lastSeen));
        return new AnsweredRange(root, keys, ownRows, last, answer.nextPosition());
    }

    /**
     * The part of this range that was fetched again in vain: its next unseen row is still what it
     * was.
     */
    AnsweredRange withoutAnswer(KeyRange keys, RowPosition unseen) {
        return new AnsweredRange(root, keys, List.of(), lastSeen, unseen);
    }

    boolean hasUnseenRows() {
        return nextUnseen != null;
    }

    RowPosition nextUnseen() {
        return nextUnseen;
    }

    /** Whether an unseen row may come before this position; null stands for the end. */
    boolean mayHaveUnseenBefore(RowPosition position, SortOrder order) {
        return nextUnseen != null && (position == null || order.compare(nextUnseen, position) < 0);
    }

    /**
     * Later answers stand for its unseen rows from now on. Returns the position that they start
     * from.
     */
    RowPosition handOverUnseen() {
        RowPosition unseen = nextUnseen;
        nextUnseen = null;
        return unseen;
    }

    /** Whether all its rows were seen, and come up to this position; null stands for before all. */
    boolean isExhausted(RowPosition upTo, SortOrder order) {
        if (hasUnseenRows()) {
            return false;
        }
        return rows.isEmpty()
                || (upTo != null && order.compare(rows.get(rows.size() - 1).position(), upTo) <= 0);
    }
}
