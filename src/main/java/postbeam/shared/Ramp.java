package postbeam.shared;

import java.time.Duration;

/**
 * How a cold node's budget rises while it warms up: linearly, from the first to so many times that,
 * within so long.
 */
public record Ramp(double first, double risesTo, Duration length, Duration window) {
    /**
     * For a window that ends at this age, as of its start; an age that is told too low does no
     * harm.
     */
    public Budget at(Duration age) {
        double risen =
                Math.max(
                        0,
                        Math.min(
                                1,
                                (double) age.minus(window).toNanos()
                                        / Math.max(1, length.toNanos())));
        return new Budget(first, first * (1 + (risesTo - 1) * risen));
    }
}
