package postbeam.coordination;

/**
 * Answers a {@link LeaseRequest}. The lease ends when the requester reckons, from its request on.
 *
 * @param requestNumber of the request
 * @param amount work in any window; 0 for no lease
 */
public record LeaseGrant(
        NodeIncarnation node, ProcessIdentity requester, long requestNumber, double amount) {}
