package postbeam.coordination;

import java.time.Duration;

/**
 * How the budget of a node rises while it warms up: linearly.
 *
 * @param initial the budget at its start, in work for a window
 * @param peakFactor times the initial budget that it rises to
 * @param duration how long it rises
 * @param window the span that a budget is for
 */
public record SlowStartRamp(double initial, double peakFactor, Duration duration, Duration window) {
    /**
     * The budget for a window that ends at this age of the node.
     *
     * @param age may be too low, which gives too low a budget
     */
    public SlowStartBudget budgetAt(Duration age) {
        double risenNanos = age.minus(window).toNanos();
        double risen = Math.max(0, Math.min(1, risenNanos / Math.max(1, duration.toNanos())));
        return new SlowStartBudget(initial, initial * (1 + (peakFactor - 1) * risen));
    }
}
