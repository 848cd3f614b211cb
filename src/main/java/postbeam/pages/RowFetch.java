package postbeam.pages;

import java.util.List;
import postbeam.slices.KeyRange;

/**
 * A request for rows of a key range.
 *
 * @param after the position after which to start; null to start from the first row
 * @param maxRows maximum number of rows
 */
public record RowFetch(KeyRange range, RowPosition after, int maxRows) {
    /**
     * Returns the maximum number of rows in an answer that covers these keys: the sum over all
     * fetches that overlap them.
     */
    public static int maxRows(List<RowFetch> fetches, KeyRange keys) {
        int rows = 0;
        for (RowFetch fetch : fetches) {
            rows += fetch.range.overlaps(keys) ? fetch.maxRows : 0;
        }
        return rows;
    }
}
