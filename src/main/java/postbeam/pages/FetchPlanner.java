package postbeam.pages;

import java.util.ArrayList;
import java.util.List;
import postbeam.slices.KeyRange;

/** Decides which key ranges to fetch for a page, and how many rows of each. */
final class FetchPlanner {
    /**
     * Lower bound of the expected share of all other ranges, which keeps estimates of large ranges
     * finite.
     */
    private static final double MIN_SHARE_OF_OTHERS = 0.5;

    private final SortOrder sortOrder;
    private final int pageSize;
    private final List<RangeProgress> ranges;
    private final RowDistribution distribution;

    FetchPlanner(
            SortOrder sortOrder,
            int pageSize,
            List<RangeProgress> ranges,
            RowDistribution distribution) {
        this.sortOrder = sortOrder;
        this.pageSize = pageSize;
        this.ranges = ranges;
        this.distribution = distribution;
    }

    // ---- the first round

    /**
     * Fetches that continue each range from its position, split at the boundaries of the current
     * slices.
     */
    List<RowFetch> initialFetches(LayoutHistory layouts) {
        List<RangeProgress> parts = new ArrayList<>();
        for (RangeProgress range : ranges) {
            layouts.splitBySlices(range.range())
                    .forEach(keys -> parts.add(range.restrictedTo(keys)));
        }
        int[] rows =
                distribution.rowsToFetch(
                        pageSize, distribution.expectedShares(parts), areBehind(parts));
        List<RowFetch> fetches = new ArrayList<>();
        for (int i = 0; i < rows.length; i++) {
            fetches.add(new RowFetch(parts.get(i).range(), parts.get(i).after(), rows[i]));
        }
        return fetches;
    }

    /**
     * Returns which ranges continue from an earlier position than the furthest range, because they
     * were missing on an earlier page.
     */
    private boolean[] areBehind(List<RangeProgress> parts) {
        RowPosition furthest = null;
        for (RangeProgress range : ranges) {
            furthest = sortOrder.later(furthest, range.after());
        }
        boolean[] behind = new boolean[parts.size()];
        for (int i = 0; i < behind.length; i++) {
            RowPosition after = parts.get(i).after();
            behind[i] =
                    furthest != null && (after == null || sortOrder.compare(after, furthest) < 0);
        }
        return behind;
    }

    // ---- later rounds

    /**
     * Fetches more rows of the ranges that may have unseen rows for the page. The number of rows
     * follows from the expected shares of the ranges.
     *
     * @param merged the first rows of all answers so far, at most a page
     * @param unfinished the ranges to fetch, see {@link AnsweredRanges#withUnseenBefore}
     * @param firstRound the ranges of the first round
     */
    List<RowFetch> followUpFetches(
            List<Row> merged, List<AnsweredRange> unfinished, List<AnsweredRange> firstRound) {
        double[] firstRoundShares = distribution.expectedShares(progressOf(firstRound));
        double[] shares = new double[unfinished.size()];
        double sum = 0;
        for (int i = 0; i < shares.length; i++) {
            shares[i] = expectedShare(unfinished.get(i), firstRound, firstRoundShares);
            sum += shares[i];
        }
        List<RowFetch> fetches = new ArrayList<>();
        for (int i = 0; i < shares.length; i++) {
            AnsweredRange range = unfinished.get(i);
            double expectedAmongMerged =
                    rowsAfter(range.nextUnseen(), merged)
                            * shares[i]
                            / Math.max(MIN_SHARE_OF_OTHERS, 1 - shares[i]);
            double expectedBeyondMerged =
                    (pageSize - merged.size()) * shares[i] / Math.max(sum, Double.MIN_NORMAL);
            addFetches(
                    fetches,
                    range,
                    distribution.followUpRows(
                            expectedAmongMerged + expectedBeyondMerged, pageSize));
        }
        return fetches;
    }

    /** Expected share of a range, as its part of the share of its first-round range. */
    private static double expectedShare(
            AnsweredRange range, List<AnsweredRange> firstRound, double[] shares) {
        return shares[firstRound.indexOf(range.root)]
                * range.range.size()
                / range.root.range.size();
    }

    private int rowsAfter(RowPosition position, List<Row> rows) {
        int after = 0;
        for (Row row : rows) {
            after += sortOrder.compare(row.position(), position) > 0 ? 1 : 0;
        }
        return after;
    }

    private void addFetches(List<RowFetch> fetches, AnsweredRange answered, int maxRows) {
        int rows = maxRows;
        for (RangeProgress range : ranges) {
            if (range.range().overlaps(answered.range)) {
                KeyRange common = range.range().intersection(answered.range);
                fetches.add(
                        new RowFetch(
                                common, sortOrder.later(range.after(), answered.lastSeen), rows));
                // The first fetch usually returns enough rows for the whole answered range.
                rows = Math.max(1, rows / 2);
            }
        }
    }

    /** Returns the ranges of the first round with their weights and no position. */
    List<RangeProgress> progressOf(List<AnsweredRange> firstRound) {
        return firstRound.stream()
                .map(answered -> new RangeProgress(answered.range, weightOf(answered.range), null))
                .toList();
    }

    private double weightOf(KeyRange keys) {
        double sum = 0;
        for (RangeProgress range : ranges) {
            sum += range.range().overlaps(keys) ? range.restrictedTo(keys).weight() : 0;
        }
        return sum;
    }
}
