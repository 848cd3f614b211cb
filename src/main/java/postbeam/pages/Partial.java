package postbeam.pages;

import java.util.List;
import postbeam.slices.KeyRange;

/**
 * What a part gave: rows of its keys in order, and where the next one stands that it has; null: it
 * has no more.
 */
public record Partial(KeyRange keys, List<Row> rows, Mark next) {
    public Partial {
        rows = List.copyOf(rows);
    }

    /**
     * What is wrong with it as an answer to these asks, in a clause; null where nothing is. Guards
     * the merge, which believes that each part ascends from its marks on, and the memory of a page.
     */
    public String problem(Order order, List<Ask> asks) {
        if (rows.size() > Ask.rows(asks, keys)) {
            return rows.size() + " rows where " + Ask.rows(asks, keys) + " were asked for";
        }
        if (next != null && rows.isEmpty()) {
            return "no row, and more to come";
        }
        Mark last = null;
        for (Row row : rows) {
            String problem = problem(order, asks, last, row.at());
            if (problem != null) {
                return problem;
            }
            last = row.at();
        }
        return next == null ? null : problem(order, asks, last, next);
    }

    private String problem(Order order, List<Ask> asks, Mark last, Mark mark) {
        String problem = mark.problem(order);
        if (problem != null) {
            return "a row can't be used: " + problem;
        }
        if (last != null && order.compare(last, mark) >= 0) {
            return "a row out of order";
        }
        if (mark.key() < keys.from() || mark.key() >= keys.to()) {
            return "a row of other keys";
        }
        Mark after = after(asks, mark.key());
        return after != null && order.compare(after, mark) >= 0
                ? "a row that had been given before"
                : null;
    }

    private static Mark after(List<Ask> asks, long key) {
        for (Ask ask : asks) {
            if (ask.keys().from() <= key && key < ask.keys().to()) {
                return ask.after();
            }
        }
        return null;
    }
}
