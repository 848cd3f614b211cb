package postbeam.pages;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** Sorted lists of rows to one, no more of it than is wanted. */
public final class Merge {
    private static final class Head {
        final List<Row> rows;
        int at;

        Head(List<Row> rows) {
            this.rows = rows;
        }

        Mark mark() {
            return rows.get(at).at();
        }
    }

    private Merge() {}

    /**
     * The first rows of all lists, so many at the most, and only what comes before the bound, if
     * that is not null.
     */
    public static List<Row> first(
            Comparator<Mark> order, List<List<Row>> lists, int most, Mark bound) {
        PriorityQueue<Head> heads =
                new PriorityQueue<>(
                        Math.max(1, lists.size()),
                        (one, other) -> order.compare(one.mark(), other.mark()));
        for (List<Row> rows : lists) {
            if (!rows.isEmpty()) {
                heads.add(new Head(rows));
            }
        }
        List<Row> merged = new ArrayList<>();
        while (merged.size() < most && !heads.isEmpty()) {
            Head least = heads.poll();
            Row row = least.rows.get(least.at);
            if (bound != null && order.compare(row.at(), bound) >= 0) {
                break;
            }
            merged.add(row);
            if (++least.at < least.rows.size()) {
                heads.add(least);
            }
        }
        return merged;
    }
}
