package postbeam.pages;

import java.util.List;
import postbeam.slices.KeyRange;

/**
 * A request for rows of some keys.
 *
 * @param after the rows after this position; null for those from the first on
 * @param maxRows at most so many
 */
public record RowFetch(KeyRange range, RowPosition after, int maxRows) {
    /** How many rows a shard may answer that has these keys, over all fetches that concern it. */
    public static int maxRows(List<RowFetch> fetches, KeyRange keys) {
        int rows = 0;
        for (RowFetch fetch : fetches) {
            rows += fetch.range.overlaps(keys) ? fetch.maxRows : 0;
        }
        return rows;
    }
}
