package postbeam.pages;

import java.util.List;
import postbeam.slices.KeyRange;

/**
 * How many rows to expect of which keys, learnt from pages given: counts in even buckets of the key
 * space, and how far rows are spread beyond chance. It decides what a page costs, never what is on
 * it. It has a lock of its own, under which nothing waits.
 */
public final class Shares {
    /** Even buckets of the key space: finer than a tenth of a slice for a hundred slices. */
    private static final int BUCKETS = 1024;

    private static final long WIDTH = KeyRange.KEYS / BUCKETS;

    /** Rows that the client's own weights count for against those learnt. */
    private static final double OWN_ROWS = 200;

    /**
     * Rows after which counts are halved: some tens of pages, so that it follows how queries
     * change.
     */
    private static final double KEPT_ROWS = 4096;

    /**
     * Rows fetched over rows given that slack may cost as long as each part has many rows on a
     * page.
     */
    private static final double FETCHED_MOST = 1.3;

    /**
     * Times the spread that is ever asked for beyond the expected: one part in a hundred then runs
     * out.
     */
    private static final double SPREADS_MOST = 2.5;

    /**
     * What a further ask costs, in rows: one row more pays while it saves more than one of so many
     * asks.
     */
    private static final double ASK_COST = 8;

    /** Of a page in how far rows are spread more or less than by chance, and the bounds of that. */
    private static final double SPREAD_STEP = 0.05;

    private static final double SPREAD_LEAST = 0.25;
    private static final double SPREAD_MOST = 9;

    /** Rows of a page that says anything about spread. */
    private static final int ROWS_TELL = 10;

    /**
     * Times its share that a range is asked for that still owes rows: it has a page's rows to make
     * up.
     */
    private static final double OWING = 2;

    private final double[] seen = new double[BUCKETS];
    private double kept;

    /** Squared distance of rows from what was expected, over what chance alone makes. */
    private double spread = 1;

    /** The share of the rows to come that each is expected to have; they add up to 1. */
    synchronized double[] of(List<Standing> ranges) {
        double[] shares = new double[ranges.size()];
        double weights = 0;
        double rows = 0;
        for (int i = 0; i < shares.length; i++) {
            weights += ranges.get(i).weight();
            shares[i] = seenIn(ranges.get(i).keys());
            rows += shares[i];
        }
        for (int i = 0; i < shares.length; i++) {
            double own = weights > 0 ? ranges.get(i).weight() / weights : 1.0 / shares.length;
            shares[i] = (shares[i] + OWN_ROWS * own) / (rows + OWN_ROWS);
        }
        return shares;
    }

    private double seenIn(KeyRange keys) {
        double sum = 0;
        for (int i = (int) (keys.from() / WIDTH); i <= (int) ((keys.to() - 1) / WIDTH); i++) {
            long from = Math.max(keys.from(), i * WIDTH);
            sum += seen[i] * (Math.min(keys.to(), (i + 1) * WIDTH) - from) / WIDTH;
        }
        return sum;
    }

    /**
     * How many rows to ask of ranges with these shares for a page of this size; some still owe
     * rows.
     */
    public synchronized int[] rows(int size, double[] shares, boolean[] owing) {
        double spreads = 0;
        for (double share : shares) {
            spreads += spread(size, share);
        }
        double times =
                Math.min(
                        SPREADS_MOST,
                        (FETCHED_MOST - 1) * size / Math.max(spreads, Double.MIN_NORMAL));
        int[] rows = new int[shares.length];
        for (int i = 0; i < rows.length; i++) {
            double expected = size * shares[i];
            double sigma = spread(size, shares[i]);
            // Where the chance of one row more is 1 in ASK_COST, by the bell curve.
            double height = sigma * Math.sqrt(2 * Math.PI) / ASK_COST;
            double pays =
                    height < 1 && height > 0
                            ? Math.floor(expected + sigma * Math.sqrt(-2 * Math.log(height)))
                            : 0;
            double most = Math.max(expected + times * sigma, pays);
            rows[i] = bounded(owing[i] ? Math.max(most, OWING * expected) : most, size);
        }
        return rows;
    }

    private double spread(int size, double share) {
        return Math.sqrt(spread * size * share * Math.max(0, 1 - share));
    }

    /**
     * How many more of a range that ran out too early and is expected to have so many more on the
     * page.
     */
    int further(double expected, int size) {
        return bounded(1 + expected + Math.sqrt(expected), size);
    }

    private static int bounded(double rows, int size) {
        return (int) Math.max(1, Math.min(size, Math.round(rows)));
    }

    /** A page was given of these ranges, which had answered. */
    synchronized void learnt(List<Row> rows, List<Standing> ranges) {
        if (rows.size() >= ROWS_TELL && ranges.size() > 1) {
            double[] expected = of(ranges);
            int[] had = new int[expected.length];
            for (Row row : rows) {
                had[range(ranges, row.at().key())]++;
            }
            double sum = 0;
            for (int i = 0; i < expected.length; i++) {
                double mean = rows.size() * expected[i];
                sum +=
                        (had[i] - mean)
                                * (had[i] - mean)
                                / Math.max(SPREAD_LEAST, mean * (1 - expected[i]));
            }
            spread += SPREAD_STEP * (Math.min(SPREAD_MOST, sum / expected.length) - spread);
            spread = Math.max(SPREAD_LEAST, spread);
        }
        for (Row row : rows) {
            seen[(int) (row.at().key() / WIDTH)]++;
        }
        kept += rows.size();
        if (kept > KEPT_ROWS) {
            kept /= 2;
            for (int i = 0; i < BUCKETS; i++) {
                seen[i] /= 2;
            }
        }
    }

    /** The place of the one that has the key; they are in order. */
    private static int range(List<Standing> ranges, long key) {
        int low = 0;
        int high = ranges.size() - 1;
        while (low < high) {
            int middle = (low + high + 1) >>> 1;
            if (ranges.get(middle).keys().from() <= key) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        return low;
    }
}
