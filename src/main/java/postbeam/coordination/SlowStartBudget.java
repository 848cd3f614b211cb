package postbeam.coordination;

/**
 * What a node may be sent in a window while it warms up, in work. It never falls within an
 * incarnation.
 *
 * @param initial when its ramp begins
 * @param current for a window that ends now, that is, as of the window's start
 */
public record SlowStartBudget(double initial, double current) {}
