package postbeam.coordination;

/**
 * What a node may be sent in a window: when its ramp begins, and for a window that ends now (that
 * is, as of the window's start). It never falls while the node's incarnation lasts.
 */
public record SlowStartBudget(double initial, double current) {}
