package postbeam.pages;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** Merges sorted lists of rows up to a number of rows or a position. */
final class RowMerger {
    /** The next row of one list. */
    private static final class ListHead {
        private final List<Row> rows;
        private int index;

        ListHead(List<Row> rows) {
            this.rows = rows;
        }

        Row row() {
            return rows.get(index);
        }

        RowPosition position() {
            return row().position();
        }

        /** Moves to the next row; returns false if there is none. */
        boolean advance() {
            index++;
            return index < rows.size();
        }
    }

    private RowMerger() {}

    /**
     * Returns the first rows of the merged lists.
     *
     * @param lists lists of rows, each sorted by the order
     * @param maxRows maximum number of rows to return
     * @param bound exclusive upper bound of positions; null for no bound
     */
    static List<Row> mergeFirst(
            Comparator<RowPosition> order, List<List<Row>> lists, int maxRows, RowPosition bound) {
        PriorityQueue<ListHead> heads =
                new PriorityQueue<>(
                        Math.max(1, lists.size()),
                        (one, other) -> order.compare(one.position(), other.position()));
        for (List<Row> rows : lists) {
            if (!rows.isEmpty()) {
                heads.add(new ListHead(rows));
            }
        }
        List<Row> merged = new ArrayList<>();
        while (merged.size() < maxRows && !heads.isEmpty()) {
            ListHead first = heads.poll();
            if (bound != null && order.compare(first.position(), bound) >= 0) {
                break;
            }
            merged.add(first.row());
            if (first.advance()) {
                heads.add(first);
            }
        }
        return merged;
    }
}
