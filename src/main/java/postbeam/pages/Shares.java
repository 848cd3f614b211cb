package postbeam.pages;

import java.util.List;
import postbeam.slices.KeyRange;

/**
 * How many rows to expect of which keys, learnt from pages given: counts in even buckets of the key space, and how much
 * to ask for beyond. It decides what a page costs, never what is on it. Its own lock; nothing waits under it.
 */
public final class Shares {
    /** Even buckets of the key space: finer than a tenth of a slice for a hundred slices. */
    private static final int BUCKETS = 1024;
    private static final long WIDTH = KeyRange.KEYS / BUCKETS;
    /** Rows that the client's own weights count for against those learnt. */
    private static final double OWN_ROWS = 200;
    /** Rows after which counts are halved: some tens of pages, so that it follows how queries change. */
    private static final double KEPT_ROWS = 4096;
    /** Times the spread of a share by chance that is asked for beyond it: the first, the least and the most. */
    private static final double SLACK_FIRST = 0.7;
    private static final double SLACK_MOST = 3;
    /** Rows fetched over rows given that the slack may cost; beyond it further asks are the cheaper way. */
    private static final double FETCHED_MOST = 1.4;
    /** What a page moves the slack by: up where ranges were asked again, down where too much came. */
    private static final double SLACK_STEP = 0.02;
    /** Times its share that a range is asked for that still owes rows: it has a page's rows to make up. */
    private static final double OWING = 2;

    private final double[] seen = new double[BUCKETS];
    private double kept;
    private double slack = SLACK_FIRST;

    /** The share of the rows to come that each is expected to have; they add up to 1. */
    public synchronized double[] of(List<Standing> ranges) {
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

    /** How many rows to ask for of a range with this share of a page. */
    public synchronized int rows(int size, double share, boolean owing) {
        double expected = size * share * (owing ? OWING : 1);
        return bounded(expected + slack * Math.sqrt(Math.max(0, size * share * (1 - share))), size);
    }

    /** How many more of a range that ran out too early and is expected to have so many more on the page. */
    synchronized int further(double expected, int size) {
        return bounded(expected + Math.sqrt(expected), size);
    }

    private static int bounded(double rows, int size) {
        return (int) Math.max(1, Math.min(size, Math.round(rows)));
    }

    /** A page was made of so many rows fetched, with so many further asks. */
    synchronized void learnt(List<Row> rows, int fetched, int furtherAsks, List<Standing> standings) {
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
        if (!rows.isEmpty()) {
            boolean dear = fetched > FETCHED_MOST * rows.size();
            slack = Math.max(0, Math.min(SLACK_MOST, slack + (dear ? -SLACK_STEP : furtherAsks > 0 ? SLACK_STEP : 0)));
        }
    }
}
