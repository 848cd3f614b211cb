package postbeam.rig;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import postbeam.pages.Ask;
import postbeam.pages.Mark;
import postbeam.pages.Order;
import postbeam.pages.Partial;
import postbeam.pages.Row;
import postbeam.slices.KeyRange;

/** What a stand-in data node makes of its rows when it is asked for some in an order. */
final class SortedRows {
    private SortedRows() {}

    /** All rows of these keys in order: the plain sort that pages are held against. */
    static List<Row> sorted(Order order, List<Row> rows, KeyRange keys) {
        return rows.stream()
                .filter(row -> in(keys, row))
                .sorted((one, other) -> order.compare(one.at(), other.at()))
                .toList();
    }

    private static boolean in(KeyRange keys, Row row) {
        return keys.from() <= row.at().key() && row.at().key() < keys.to();
    }

    /**
     * The answer of a part that has these keys, with at most so many rows though more were asked
     * for.
     */
    static Partial answer(Order order, List<Ask> asks, List<Row> rows, KeyRange keys, int most) {
        List<Row> found = new ArrayList<>();
        for (Row row : sorted(order, rows, keys)) {
            if (asks.stream()
                    .anyMatch(ask -> in(ask.keys(), row) && after(order, ask.after(), row))) {
                found.add(row);
            }
        }
        int give = Math.min(found.size(), Math.min(most, Ask.rows(asks, keys)));
        return new Partial(
                keys, found.subList(0, give), give < found.size() ? found.get(give).at() : null);
    }

    /** With the first two in each other's place. */
    static List<Row> turned(List<Row> rows) {
        List<Row> turned = new ArrayList<>(rows);
        Collections.swap(turned, 0, 1);
        return turned;
    }

    private static boolean after(Order order, Mark mark, Row row) {
        return mark == null || order.compare(row.at(), mark) > 0;
    }
}
