package postbeam.pages;

import java.util.List;
import postbeam.slices.KeyRange;

/** What a part gave: rows of its keys in order, and whether it has more. */
public record Partial(KeyRange keys, List<Row> rows, boolean more) {
    public Partial {
        rows = List.copyOf(rows);
    }

    /**
     * What is wrong with it as an answer to these asks, in a clause; null where nothing is. Guards the merge, which
     * believes that each part ascends from its marks on, and the memory of a page.
     */
    public String problem(Order order, List<Ask> asks) {
        if (rows.size() > Ask.rows(asks, keys)) {
            return rows.size() + " rows where " + Ask.rows(asks, keys) + " were asked for";
        }
        if (more && rows.isEmpty()) {
            return "no row, and more to come";
        }
        Mark last = null;
        for (Row row : rows) {
            String problem = row.at().problem(order);
            if (problem != null) {
                return "a row can't be used: " + problem;
            }
            if (last != null && order.compare(last, row.at()) >= 0) {
                return "a row out of order";
            }
            last = row.at();
            if (last.key() < keys.from() || last.key() >= keys.to()) {
                return "a row of other keys";
            }
            Mark after = after(asks, last.key());
            if (after != null && order.compare(after, last) >= 0) {
                return "a row that had been given before";
            }
        }
        return null;
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
