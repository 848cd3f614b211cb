package postbeam.coordination;

import java.time.Duration;

/**
 * The linear increase of a node's budget while the node warms up.
 *
 * @param initial the budget at the start of the ramp, as work in a window
 * @param peakFactor the budget at the end of the ramp as a multiple of the initial one
 * @param duration length of the ramp
 * @param window the span of time that a budget is for
 */
public record SlowStartRamp(double initial, double peakFactor, Duration duration, Duration window) {
    /**
     * The budget for a window that ends at this age of the node.
     *
     * @param age may be less than the real age, which gives a budget below the allowed one
     */
    public SlowStartBudget budgetAt(Duration age) {
        double elapsedNanos = age.minus(window).toNanos();
        double progress = Math.max(0, Math.min(1, elapsedNanos / Math.max(1, duration.toNanos())));
        return new SlowStartBudget(initial, initial * (1 + (peakFactor - 1) * progress));
    }
}
