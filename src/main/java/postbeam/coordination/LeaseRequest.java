package postbeam.coordination;

/**
 * Requests a lease from a stripe's leader.
 *
 * @param requestNumber the requester's own, higher for each request
 * @param requestedAmount work in a window
 * @param nodeBudget of the node for a window that ends now
 */
public record LeaseRequest(
        NodeIncarnation node,
        ProcessIdentity requester,
        long requestNumber,
        double requestedAmount,
        double nodeBudget) {}
