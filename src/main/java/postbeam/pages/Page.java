package postbeam.pages;

import java.util.List;
import postbeam.slices.KeyRange;

/**
 * A page of a query's rows, and the progress after it.
 *
 * @param rows the rows in the sort order
 * @param missingRanges key ranges that did not answer, so that the page has none of their rows
 * @param remaining progress of all ranges that may have rows left; empty on the last page
 * @param truncated whether the page is not full although rows are left
 * @param rowsFetched number of rows received from shards for this page
 */
public record Page(
        List<Row> rows,
        List<KeyRange> missingRanges,
        List<RangeProgress> remaining,
        boolean truncated,
        int rowsFetched) {}
