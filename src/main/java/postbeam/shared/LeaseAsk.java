package postbeam.shared;

/**
 * Asks the keeper for a lease.
 *
 * @param number the router's own, higher for each ask
 * @param wanted in a window
 * @param budget of the node for a window that ends now
 */
public record LeaseAsk(NodeKey node, Who router, long number, double wanted, double budget) {}
