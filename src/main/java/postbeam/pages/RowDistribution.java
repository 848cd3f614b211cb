package postbeam.pages;

import java.util.List;
import postbeam.slices.KeyRange;

/**
 * Estimates how many rows to expect of each key range, from earlier pages: row counts in equal
 * buckets of the key space, and the dispersion of row counts beyond chance. The estimates affect
 * only the cost of a page, never its content.
 *
 * <p>Thread-safe; no method blocks while it holds the lock.
 */
public final class RowDistribution {
    /**
     * Number of buckets in the key space; with 100 slices, a bucket is smaller than a tenth of a
     * slice.
     */
    private static final int BUCKET_COUNT = 1024;

    private static final long BUCKET_WIDTH = KeyRange.KEY_SPACE_SIZE / BUCKET_COUNT;

    /**
     * Weight of the client's estimates (the weights of its ranges) relative to counted rows: they
     * count as much as this many rows.
     */
    private static final double CLIENT_WEIGHT_ROWS = 200;

    /**
     * Number of counted rows above which all counts are halved, so that the estimates adapt when
     * queries change.
     */
    private static final double MAX_COUNTED_ROWS = 4096;

    /**
     * Maximum ratio of rows fetched to rows returned that the safety margin may cause while each
     * range has many rows on a page.
     */
    private static final double MAX_FETCH_RATIO = 1.3;

    /** Maximum safety margin above the expected rows, in standard deviations. */
    private static final double MAX_DEVIATIONS = 2.5;

    /** Cost of a follow-up fetch, as the number of fetched rows that cost as much. */
    private static final double FETCH_COST_ROWS = 8;

    /** Weight of a new page in the moving average of the dispersion. */
    private static final double DISPERSION_STEP = 0.05;

    /** Lower bound of the dispersion, and of the binomial variance that it is computed with. */
    private static final double MIN_DISPERSION = 0.25;

    /** Upper bound of the dispersion value that one page adds to the moving average. */
    private static final double MAX_DISPERSION = 9;

    /**
     * Minimum number of rows of a page that updates the dispersion; smaller pages say too little
     * about it.
     */
    private static final int MIN_SAMPLE_ROWS = 10;

    /**
     * Factor on the expected rows of a range that is behind because it was missing on an earlier
     * page.
     */
    private static final double BEHIND_FACTOR = 2;

    private final double[] rowsByBucket = new double[BUCKET_COUNT];
    private double countedRows;

    /** Variance of the rows of a range on a page, divided by the binomial variance. */
    private double dispersion = 1;

    /** Returns the expected share of each range in the rows to come; the shares add up to 1. */
    synchronized double[] expectedShares(List<RangeProgress> ranges) {
        double[] shares = new double[ranges.size()];
        double weights = 0;
        double rows = 0;
        for (int i = 0; i < shares.length; i++) {
            weights += ranges.get(i).weight();
            shares[i] = countedRowsIn(ranges.get(i).range());
            rows += shares[i];
        }
        for (int i = 0; i < shares.length; i++) {
            double clientShare =
                    weights > 0 ? ranges.get(i).weight() / weights : 1.0 / shares.length;
            shares[i] =
                    (shares[i] + CLIENT_WEIGHT_ROWS * clientShare) / (rows + CLIENT_WEIGHT_ROWS);
        }
        return shares;
    }

    private double countedRowsIn(KeyRange keys) {
        double sum = 0;
        for (int i = bucketOf(keys.from()); i <= bucketOf(keys.to() - 1); i++) {
            long from = Math.max(keys.from(), i * BUCKET_WIDTH);
            sum +=
                    rowsByBucket[i]
                            * (Math.min(keys.to(), (i + 1) * BUCKET_WIDTH) - from)
                            / BUCKET_WIDTH;
        }
        return sum;
    }

    private static int bucketOf(long key) {
        return (int) (key / BUCKET_WIDTH);
    }

    /**
     * Returns how many rows to fetch of each range in the first round of a page.
     *
     * @param shares expected shares of the ranges, see {@link #expectedShares}
     * @param behind which ranges are behind because they were missing on an earlier page
     */
    synchronized int[] rowsToFetch(int pageSize, double[] shares, boolean[] behind) {
        double sumOfDeviations = 0;
        for (double share : shares) {
            sumOfDeviations += deviation(pageSize, share);
        }
        double deviations =
                Math.min(
                        MAX_DEVIATIONS,
                        (MAX_FETCH_RATIO - 1)
                                * pageSize
                                / Math.max(sumOfDeviations, Double.MIN_NORMAL));
        int[] rows = new int[shares.length];
        for (int i = 0; i < rows.length; i++) {
            double expected = pageSize * shares[i];
            double deviation = deviation(pageSize, shares[i]);
            double wanted =
                    Math.max(
                            expected + deviations * deviation,
                            rowsWorthFetching(expected, deviation));
            rows[i] =
                    clampRows(
                            behind[i] ? Math.max(wanted, BEHIND_FACTOR * expected) : wanted,
                            pageSize);
        }
        return rows;
    }

    /**
     * Returns the largest number of rows at which one more row still saves more expected follow-up
     * cost than it costs, for normally distributed row counts.
     */
    private static double rowsWorthFetching(double expected, double deviation) {
        double density = deviation * Math.sqrt(2 * Math.PI) / FETCH_COST_ROWS;
        return density < 1 && density > 0
                ? Math.floor(expected + deviation * Math.sqrt(-2 * Math.log(density)))
                : 0;
    }

    /**
     * Standard deviation of the number of rows on a page that belong to a range with this share.
     */
    private double deviation(int pageSize, double share) {
        return Math.sqrt(dispersion * pageSize * share * Math.max(0, 1 - share));
    }

    /**
     * Returns how many rows a follow-up fetch requests from a range that is expected to have this
     * many more rows on the page.
     */
    int followUpRows(double expected, int pageSize) {
        return clampRows(1 + expected + Math.sqrt(expected), pageSize);
    }

    private static int clampRows(double rows, int pageSize) {
        return (int) Math.max(1, Math.min(pageSize, Math.round(rows)));
    }

    /** Updates the estimates with a page; the ranges are those that answered. */
    synchronized void recordPage(List<Row> rows, List<RangeProgress> ranges) {
        if (rows.size() >= MIN_SAMPLE_ROWS && ranges.size() > 1) {
            updateDispersion(rows, ranges);
        }
        for (Row row : rows) {
            rowsByBucket[bucketOf(row.position().key())]++;
        }
        countedRows += rows.size();
        if (countedRows > MAX_COUNTED_ROWS) {
            halveCounts();
        }
    }

    private void updateDispersion(List<Row> rows, List<RangeProgress> ranges) {
        double[] shares = expectedShares(ranges);
        int[] rowsByRange = new int[shares.length];
        for (Row row : rows) {
            rowsByRange[indexOf(ranges, row.position().key())]++;
        }
        double sum = 0;
        for (int i = 0; i < shares.length; i++) {
            double mean = rows.size() * shares[i];
            sum +=
                    (rowsByRange[i] - mean)
                            * (rowsByRange[i] - mean)
                            / Math.max(MIN_DISPERSION, mean * (1 - shares[i]));
        }
        dispersion +=
                DISPERSION_STEP * (Math.min(MAX_DISPERSION, sum / shares.length) - dispersion);
        dispersion = Math.max(MIN_DISPERSION, dispersion);
    }

    private void halveCounts() {
        countedRows /= 2;
        for (int i = 0; i < BUCKET_COUNT; i++) {
            rowsByBucket[i] /= 2;
        }
    }

    /**
     * Returns the index of the range that contains this key, by binary search; ranges are in key
     * order.
     */
    private static int indexOf(List<RangeProgress> ranges, long key) {
        int low = 0;
        int high = ranges.size() - 1;
        while (low < high) {
            int middle = (low + high + 1) >>> 1;
            if (ranges.get(middle).range().from() <= key) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        return low;
    }
}
