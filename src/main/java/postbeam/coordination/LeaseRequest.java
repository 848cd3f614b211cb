package postbeam.coordination;

/**
 * A request to a stripe's leader for a lease of a node's budget.
 *
 * @param requestNumber assigned by the requester, higher for each request
 * @param requestedAmount work in any window
 * @param nodeBudget the node's budget for a window that ends now, as computed by the requester
 */
public record LeaseRequest(
        NodeIncarnation node,
        ProcessIdentity requester,
        long requestNumber,
        double requestedAmount,
        double nodeBudget) {}
