package postbeam.pages;

import java.util.List;
import postbeam.slices.KeyRange;

/**
 * A page.
 *
 * @param rows in the sort order
 * @param missingRanges keys that it was made without
 * @param remaining all ranges that may have rows left, and from where they go on; with none left
 *     the page is the last
 * @param truncated whether it is not full although rows are left
 * @param rowsFetched rows that came from the shards for it
 */
public record Page(
        List<Row> rows,
        List<KeyRange> missingRanges,
        List<RangeProgress> remaining,
        boolean truncated,
        int rowsFetched) {}
