package postbeam.coordination;

import java.time.Duration;

/**
 * How a cold node's budget rises while it warms up: linearly, from the first to so many times that,
 * within so long.
 */
public record SlowStartRamp(double initial, double peakFactor, Duration duration, Duration window) {
    /**
     * For a window that ends at this age, as of its start; an age that is told too low does no
     * harm.
     */
    public SlowStartBudget budgetAt(Duration age) {
        double risen =
                Math.max(
                        0,
                        Math.min(
                                1,
                                (double) age.minus(window).toNanos()
                                        / Math.max(1, duration.toNanos())));
        return new SlowStartBudget(initial, initial * (1 + (peakFactor - 1) * risen));
    }
}
