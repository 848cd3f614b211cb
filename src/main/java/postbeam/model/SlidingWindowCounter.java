package postbeam.model;

import java.time.Duration;
import java.util.Arrays;

/** A sum over the recent past, kept in fixed buckets of time that are used again in a ring. */
public final class SlidingWindowCounter {
    private final long width;
    private final double[] sums;
    private final long[] slots;

    /** Covers at least the span with so many buckets. */
    public SlidingWindowCounter(Duration span, int buckets) {
        width = Math.max(1, span.toNanos() / buckets);
        sums = new double[buckets + 2];
        slots = new long[buckets + 2];
        Arrays.fill(slots, Long.MIN_VALUE);
    }

    public void add(Duration now, double amount) {
        long slot = Math.floorDiv(now.toNanos(), width);
        int i = (int) Math.floorMod(slot, (long) sums.length);
        if (slots[i] != slot) {
            slots[i] = slot;
            sums[i] = 0;
        }
        sums[i] += amount;
    }

    /** All that was added within the span, and at the most one bucket's width before it. */
    public double upperBoundSum(Duration now, Duration span) {
        return sum(now, Math.floorDiv(now.minus(span).toNanos(), width));
    }

    /** What was added within the span, less what shares a bucket with its start. */
    public double lowerBoundSum(Duration now, Duration span) {
        return sum(now, Math.floorDiv(now.minus(span).toNanos(), width) + 1);
    }

    private double sum(Duration now, long from) {
        long to = Math.floorDiv(now.toNanos(), width);
        double sum = 0;
        for (int i = 0; i < sums.length; i++) {
            if (slots[i] >= from && slots[i] <= to) {
                sum += sums[i];
            }
        }
        return sum;
    }
}
