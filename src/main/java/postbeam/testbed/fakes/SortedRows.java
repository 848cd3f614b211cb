package postbeam.testbed.fakes;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import postbeam.pages.PartialPage;
import postbeam.pages.Row;
import postbeam.pages.RowFetch;
import postbeam.pages.RowPosition;
import postbeam.pages.SortOrder;
import postbeam.slices.KeyRange;

/** What a stand-in data node makes of its rows when it is asked for some in an order. */
public final class SortedRows {
    private SortedRows() {}

    /** All rows of these keys in order: the plain sort that pages are held against. */
    public static List<Row> sorted(SortOrder order, List<Row> rows, KeyRange keys) {
        return rows.stream()
                .filter(row -> in(keys, row))
                .sorted((one, other) -> order.compare(one.position(), other.position()))
                .toList();
    }

    private static boolean in(KeyRange keys, Row row) {
        return keys.from() <= row.position().key() && row.position().key() < keys.to();
    }

    /**
     * The answer of a part that has these keys, with at most so many rows though more were asked
     * for.
     */
    public static PartialPage answer(
            SortOrder order, List<RowFetch> asks, List<Row> rows, KeyRange keys, int most) {
        List<Row> found = new ArrayList<>();
        for (Row row : sorted(order, rows, keys)) {
            if (asks.stream()
                    .anyMatch(ask -> in(ask.range(), row) && after(order, ask.after(), row))) {
                found.add(row);
            }
        }
        int give = Math.min(found.size(), Math.min(most, RowFetch.maxRows(asks, keys)));
        return new PartialPage(
                keys,
                found.subList(0, give),
                give < found.size() ? found.get(give).position() : null);
    }

    /** With the first two in each other's place. */
    static List<Row> turned(List<Row> rows) {
        List<Row> turned = new ArrayList<>(rows);
        Collections.swap(turned, 0, 1);
        return turned;
    }

    private static boolean after(SortOrder order, RowPosition mark, Row row) {
        return mark == null || order.compare(row.position(), mark) > 0;
    }
}
