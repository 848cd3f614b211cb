package postbeam.pages;

import java.util.List;
import postbeam.slices.KeyRange;

/**
 * How many rows to expect of which keys, learnt from pages given: counts in even buckets of the key
 * space, and how far rows are spread beyond chance. It decides what a page costs, never what is on
 * it. It has a lock of its own, under which nothing waits.
 */
public final class RowDistribution {
    /** Even buckets of the key space: finer than a tenth of a slice for a hundred slices. */
    private static final int BUCKET_COUNT = 1024;

    private static final long BUCKET_WIDTH = KeyRange.KEY_SPACE_SIZE / BUCKET_COUNT;

    /** Rows that the client's own weights count for against those learnt. */
    private static final double CLIENT_WEIGHT_ROWS = 200;

    /**
     * Rows after which counts are halved: some tens of pages, so that it follows how queries
     * change.
     */
    private static final double MAX_COUNTED_ROWS = 4096;

    /**
     * Rows fetched over rows given that slack may cost as long as each part has many rows on a
     * page.
     */
    private static final double MAX_FETCH_RATIO = 1.3;

    /**
     * Times the spread that is ever asked for beyond the expected: one part in a hundred then runs
     * out.
     */
    private static final double MAX_DEVIATIONS = 2.5;

    /**
     * What a further ask costs, in rows: one row more pays while it saves more than one of so many
     * asks.
     */
    private static final double FETCH_COST_ROWS = 8;

    /** Of a page in how far rows are spread more or less than by chance, and the bounds of that. */
    private static final double DISPERSION_STEP = 0.05;

    private static final double MIN_DISPERSION = 0.25;
    private static final double MAX_DISPERSION = 9;

    /** Rows of a page that says anything about spread. */
    private static final int MIN_SAMPLE_ROWS = 10;

    /**
     * Times its share that a range is asked for that still owes rows: it has a page's rows to make
     * up.
     */
    private static final double OWING_FACTOR = 2;

    private final double[] rowsByBucket = new double[BUCKET_COUNT];
    private double countedRows;

    /** Squared distance of rows from what was expected, over what chance alone makes. */
    private double dispersion = 1;

    /** The share of the rows to come that each is expected to have; they add up to 1. */
    synchronized double[] expectedShares(List<RangeProgress> ranges) {
        double[] shares = new double[ranges.size()];
        double weights = 0;
        double rows = 0;
        for (int i = 0; i < shares.length; i++) {
            weights += ranges.get(i).weight();
            shares[i] = rowsIn(ranges.get(i).range());
            rows += shares[i];
        }
        for (int i = 0; i < shares.length; i++) {
            double own = weights > 0 ? ranges.get(i).weight() / weights : 1.0 / shares.length;
            shares[i] = (shares[i] + CLIENT_WEIGHT_ROWS * own) / (rows + CLIENT_WEIGHT_ROWS);
        }
        return shares;
    }

    private double rowsIn(KeyRange keys) {
        double sum = 0;
        for (int i = (int) (keys.from() / BUCKET_WIDTH);
                i <= (int) ((keys.to() - 1) / BUCKET_WIDTH);
                i++) {
            long from = Math.max(keys.from(), i * BUCKET_WIDTH);
            sum +=
                    rowsByBucket[i]
                            * (Math.min(keys.to(), (i + 1) * BUCKET_WIDTH) - from)
                            / BUCKET_WIDTH;
        }
        return sum;
    }

    /**
     * How many rows to ask of ranges with these shares for a page of this size; some still owe
     * rows.
     */
    public synchronized int[] rowsToFetch(int size, double[] shares, boolean[] owing) {
        double spreads = 0;
        for (double share : shares) {
            spreads += dispersion(size, share);
        }
        double times =
                Math.min(
                        MAX_DEVIATIONS,
                        (MAX_FETCH_RATIO - 1) * size / Math.max(spreads, Double.MIN_NORMAL));
        int[] rows = new int[shares.length];
        for (int i = 0; i < rows.length; i++) {
            double expected = size * shares[i];
            double sigma = dispersion(size, shares[i]);
            // Where the chance of one row more is 1 in ASK_COST, by the bell curve.
            double height = sigma * Math.sqrt(2 * Math.PI) / FETCH_COST_ROWS;
            double pays =
                    height < 1 && height > 0
                            ? Math.floor(expected + sigma * Math.sqrt(-2 * Math.log(height)))
                            : 0;
            double most = Math.max(expected + times * sigma, pays);
            rows[i] = clampRows(owing[i] ? Math.max(most, OWING_FACTOR * expected) : most, size);
        }
        return rows;
    }

    private double dispersion(int size, double share) {
        return Math.sqrt(dispersion * size * share * Math.max(0, 1 - share));
    }

    /**
     * How many more of a range that ran out too early and is expected to have so many more on the
     * page.
     */
    int followUpRows(double expected, int size) {
        return clampRows(1 + expected + Math.sqrt(expected), size);
    }

    private static int clampRows(double rows, int size) {
        return (int) Math.max(1, Math.min(size, Math.round(rows)));
    }

    /** A page was given of these ranges, which had answered. */
    synchronized void recordPage(List<Row> rows, List<RangeProgress> ranges) {
        if (rows.size() >= MIN_SAMPLE_ROWS && ranges.size() > 1) {
            double[] expected = expectedShares(ranges);
            int[] had = new int[expected.length];
            for (Row row : rows) {
                had[indexOf(ranges, row.position().key())]++;
            }
            double sum = 0;
            for (int i = 0; i < expected.length; i++) {
                double mean = rows.size() * expected[i];
                sum +=
                        (had[i] - mean)
                                * (had[i] - mean)
                                / Math.max(MIN_DISPERSION, mean * (1 - expected[i]));
            }
            dispersion +=
                    DISPERSION_STEP
                            * (Math.min(MAX_DISPERSION, sum / expected.length) - dispersion);
            dispersion = Math.max(MIN_DISPERSION, dispersion);
        }
        for (Row row : rows) {
            rowsByBucket[(int) (row.position().key() / BUCKET_WIDTH)]++;
        }
        countedRows += rows.size();
        if (countedRows > MAX_COUNTED_ROWS) {
            countedRows /= 2;
            for (int i = 0; i < BUCKET_COUNT; i++) {
                rowsByBucket[i] /= 2;
            }
        }
    }

    /** The place of the one that has the key; they are in order. */
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
