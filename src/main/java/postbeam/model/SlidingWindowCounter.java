package postbeam.model;

import java.time.Duration;
import java.util.Arrays;

/**
 * Sum of amounts over a sliding window, kept in a ring buffer of time buckets. Buckets expire as a
 * whole, so that only an upper and a lower bound of the sum over a span of time are known.
 */
public final class SlidingWindowCounter {
    /** Default number of buckets per span. The two bounds differ by the content of one bucket. */
    private static final int DEFAULT_BUCKETS = 50;

    private final long bucketNanos;
    private final double[] sums;
    private final long[] bucketNumbers;

    /** Creates a counter for sums over spans up to this length. */
    public SlidingWindowCounter(Duration span) {
        this(span, DEFAULT_BUCKETS);
    }

    /**
     * Creates a counter for sums over spans up to this length, with this number of buckets per
     * span.
     */
    public SlidingWindowCounter(Duration span, int buckets) {
        bucketNanos = Math.max(1, span.toNanos() / buckets);
        sums = new double[buckets + 2];
        bucketNumbers = new long[buckets + 2];
        Arrays.fill(bucketNumbers, Long.MIN_VALUE);
    }

    /** Adds an amount at this time. Times must not decrease from call to call. */
    public void add(Duration now, double amount) {
        long bucket = Math.floorDiv(now.toNanos(), bucketNanos);
        int i = (int) Math.floorMod(bucket, (long) sums.length);
        if (bucketNumbers[i] != bucket) {
            bucketNumbers[i] = bucket;
            sums[i] = 0;
        }
        sums[i] += amount;
    }

    /**
     * Returns an upper bound of the sum over the span that ends now; it includes all of the bucket
     * in which the span begins.
     */
    public double upperBoundSum(Duration now, Duration span) {
        return sum(now, Math.floorDiv(now.minus(span).toNanos(), bucketNanos));
    }

    /**
     * Returns a lower bound of the sum over the span that ends now; it excludes the bucket in which
     * the span begins.
     */
    public double lowerBoundSum(Duration now, Duration span) {
        return sum(now, Math.floorDiv(now.minus(span).toNanos(), bucketNanos) + 1);
    }

    private double sum(Duration now, long firstBucket) {
        long lastBucket = Math.floorDiv(now.toNanos(), bucketNanos);
        double sum = 0;
        for (int i = 0; i < sums.length; i++) {
            if (bucketNumbers[i] >= firstBucket && bucketNumbers[i] <= lastBucket) {
                sum += sums[i];
            }
        }
        return sum;
    }
}
