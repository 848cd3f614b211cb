package postbeam.pages;

import java.util.List;
import postbeam.slices.KeyRange;

/**
 * What a part gave: rows of its keys in order, and where the next one stands that it has; null: it
 * has no more.
 */
public record PartialPage(KeyRange range, List<Row> rows, RowPosition nextPosition) {
    public PartialPage {
        rows = List.copyOf(rows);
    }

    /**
     * What is wrong with it as an answer to these asks, in a clause; null where nothing is. Guards
     * the merge, which believes that each part ascends from its marks on, and the memory of a page.
     */
    public String findProblem(SortOrder order, List<RowFetch> asks) {
        if (rows.size() > RowFetch.maxRows(asks, range)) {
            return rows.size() + " rows where " + RowFetch.maxRows(asks, range) + " were asked for";
        }
        if (nextPosition != null && rows.isEmpty()) {
            return "no row, and more to come";
        }
        RowPosition last = null;
        for (Row row : rows) {
            String problem = findProblem(order, asks, last, row.position());
            if (problem != null) {
                return problem;
            }
            last = row.position();
        }
        return nextPosition == null ? null : findProblem(order, asks, last, nextPosition);
    }

    private String findProblem(
            SortOrder order, List<RowFetch> asks, RowPosition last, RowPosition mark) {
        String problem = mark.findProblem(order);
        if (problem != null) {
            return "a row can't be used: " + problem;
        }
        if (last != null && order.compare(last, mark) >= 0) {
            return "a row out of order";
        }
        if (mark.key() < range.from() || mark.key() >= range.to()) {
            return "a row of other keys";
        }
        RowPosition after = startOf(asks, mark.key());
        return after != null && order.compare(after, mark) >= 0
                ? "a row that had been given before"
                : null;
    }

    private static RowPosition startOf(List<RowFetch> asks, long key) {
        for (RowFetch ask : asks) {
            if (ask.range().from() <= key && key < ask.range().to()) {
                return ask.after();
            }
        }
        return null;
    }
}
