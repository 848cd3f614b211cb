package postbeam.coordination;

/**
 * The work that all routers together may send a node in a window while it warms up. It never
 * decreases within an incarnation.
 *
 * @param initial the budget at the start of the ramp
 * @param current the budget for a window that ends now: the value at the start of the window
 */
public record SlowStartBudget(double initial, double current) {}
