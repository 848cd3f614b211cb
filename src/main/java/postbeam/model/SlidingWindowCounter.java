package postbeam.model;

import java.time.Duration;
import java.util.Arrays;

/**
 * A sum over the recent past, kept in fixed buckets of time that are reused in a ring. As a bucket
 * is forgotten as a whole, a sum is told as an upper or a lower bound of what was added within a
 * span.
 */
public final class SlidingWindowCounter {
    /** Coarse enough to be cheap; the two bounds differ by a fiftieth of the span. */
    private static final int DEFAULT_BUCKETS = 50;

    private final long bucketNanos;
    private final double[] sums;
    private final long[] bucketNumbers;

    /** Creates an empty counter that covers at least the span. */
    public SlidingWindowCounter(Duration span) {
        this(span, DEFAULT_BUCKETS);
    }

    /** Creates an empty counter that covers at least the span, with so many buckets. */
    public SlidingWindowCounter(Duration span, int buckets) {
        bucketNanos = Math.max(1, span.toNanos() / buckets);
        sums = new double[buckets + 2];
        bucketNumbers = new long[buckets + 2];
        Arrays.fill(bucketNumbers, Long.MIN_VALUE);
    }

    /** Adds an amount now. */
    public void add(Duration now, double amount) {
        long bucket = Math.floorDiv(now.toNanos(), bucketNanos);
        int i = (int) Math.floorMod(bucket, (long) sums.length);
        if (bucketNumbers[i] != bucket) {
            bucketNumbers[i] = bucket;
            sums[i] = 0;
        }
        sums[i] += amount;
    }

    /** All that was added within the span, and what was at most one bucket's width before it. */
    public double upperBoundSum(Duration now, Duration span) {
        return sum(now, Math.floorDiv(now.minus(span).toNanos(), bucketNanos));
    }

    /** What was added within the span, less what shares a bucket with its start. */
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
