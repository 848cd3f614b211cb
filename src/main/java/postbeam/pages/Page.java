package postbeam.pages;

import java.util.List;
import postbeam.slices.KeyRange;

/**
 * A page: its rows in order, the ranges it was given without, and where all ranges that are not
 * over stand after it; with none of these left the chain is over. It is short where it ended before
 * it was full and rows are left. Fetched is how many rows came for it.
 */
public record Page(
        List<Row> rows,
        List<KeyRange> missingRanges,
        List<RangeProgress> remaining,
        boolean truncated,
        int rowsFetched) {}
