package postbeam.coordination;

/**
 * Asks the keeper for a lease.
 *
 * @param number the router's own, higher for each ask
 * @param wanted in a window
 * @param budget of the node for a window that ends now
 */
public record LeaseRequest(
        NodeIncarnation node,
        ProcessIdentity requester,
        long number,
        double requested,
        double nodeBudget) {}
