package postbeam.coordination;

/**
 * Requests a lease from a stripe's leader.
 *
 * @param number the requester's own, higher for each request
 * @param requested work in a window
 * @param nodeBudget of the node for a window that ends now
 */
public record LeaseRequest(
        NodeIncarnation node,
        ProcessIdentity requester,
        long number,
        double requested,
        double nodeBudget) {}
