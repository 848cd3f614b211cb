package postbeam.pages;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** Sorted lists of rows to one, no more of it than is wanted. */
public final class RowMerger {
    private static final class ListHead {
        final List<Row> rows;
        int index;

        ListHead(List<Row> rows) {
            this.rows = rows;
        }

        RowPosition position() {
            return rows.get(index).position();
        }
    }

    private RowMerger() {}

    /**
     * The first rows of all lists, so many at the most, and only what comes before the bound, if
     * that is not null.
     */
    public static List<Row> mergeFirst(
            Comparator<RowPosition> order, List<List<Row>> lists, int most, RowPosition bound) {
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
        while (merged.size() < most && !heads.isEmpty()) {
            ListHead least = heads.poll();
            Row row = least.rows.get(least.index);
            if (bound != null && order.compare(row.position(), bound) >= 0) {
                break;
            }
            merged.add(row);
            if (++least.index < least.rows.size()) {
                heads.add(least);
            }
        }
        return merged;
    }
}
