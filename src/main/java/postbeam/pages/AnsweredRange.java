package postbeam.pages;

import java.util.List;
import postbeam.slices.KeyRange;

/** A key range that one answer covers, with the rows of that answer in the range. */
final class AnsweredRange {
    /** The first-round range that contains these keys; this object itself in the first round. */
    final AnsweredRange root;

    final KeyRange range;
    final List<Row> rows;

    /** Position of the last row received for these keys in any round; null if there is none. */
    final RowPosition lastSeen;

    /**
     * Lower bound of the positions of rows that the shard has but did not send; null if it has
     * none, or if the keys were fetched again in a later round.
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

    /** Creates the range of a first-round answer. */
    static AnsweredRange ofFirstRound(PartialPage answer) {
        return new AnsweredRange(
                null,
                answer.range(),
                answer.rows(),
                answer.lastPosition(null),
                answer.nextPosition());
    }

    /** Returns the part of a later answer that covers these keys of this range. */
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
     * Returns a part of this range that was fetched again without an answer; its next unseen
     * position stays the same.
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

    /** Returns whether an unseen row may precede this position; null means the end of the order. */
    boolean mayHaveUnseenBefore(RowPosition position, SortOrder order) {
        return nextUnseen != null && (position == null || order.compare(nextUnseen, position) < 0);
    }

    /**
     * Returns the next unseen position and clears it, as the answers of a later round now account
     * for the unseen rows.
     */
    RowPosition takeNextUnseen() {
        RowPosition unseen = nextUnseen;
        nextUnseen = null;
        return unseen;
    }

    /**
     * Returns whether all rows of the range were received and none is after this position; null
     * means before the first row.
     */
    boolean isExhausted(RowPosition upTo, SortOrder order) {
        if (hasUnseenRows()) {
            return false;
        }
        return rows.isEmpty()
                || (upTo != null && order.compare(rows.get(rows.size() - 1).position(), upTo) <= 0);
    }
}
