package postbeam.model;

import java.time.Duration;
import java.util.Arrays;

/**
 * A sum over a sliding window, kept in a ring buffer of time buckets. As buckets expire as a whole,
 * only an upper and a lower bound of the sum over a span are known.
 */
public final class SlidingWindowCounter {
    /** Number of buckets per span; the bounds differ by the content of one bucket. */
    private static final int DEFAULT_BUCKETS = 50;

    private final long bucketNanos;
    private final double[] sums;
    private final long[] bucketNumbers;

    /** Creates a counter for spans up to this one. */
    public SlidingWindowCounter(Duration span) {
        this(span, DEFAULT_BUCKETS);
    }

    /** Creates a counter for spans up to this one, with this number of buckets. */
    public SlidingWindowCounter(Duration span, int buckets) {
        bucketNanos = Math.max(1, span.toNanos() / buckets);
        sums = new double[buckets + 2];
        bucketNumbers = new long[buckets + 2];
        Arrays.fill(bucketNumbers, Long.MIN_VALUE);
    }

    /** Adds an amount at this time; times must not decrease. */
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
     * Upper bound of the sum over the span: includes all of the bucket in which the span begins.
     */
    public double upperBoundSum(Duration now, Duration span) {
        return sum(now, Math.floorDiv(now.minus(span).toNanos(), bucketNanos));
    }

    /** Lower bound of the sum over the span: excludes the bucket in which the span begins. */
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
