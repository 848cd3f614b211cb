package postbeam.pages;

import java.util.List;
import postbeam.slices.KeyRange;

/** So many rows at most of these keys, after this mark; null: from the first on. */
public record RowFetch(KeyRange range, RowPosition after, int maxRows) {
    /** What a part that has these keys is asked for altogether. */
    public static int maxRows(List<RowFetch> asks, KeyRange keys) {
        int rows = 0;
        for (RowFetch ask : asks) {
            rows += ask.range.overlaps(keys) ? ask.maxRows : 0;
        }
        return rows;
    }
}
