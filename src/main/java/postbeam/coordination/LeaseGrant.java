package postbeam.coordination;

/**
 * Answers a {@link LeaseRequest}. The lease ends when the requester reckons, from its request on.
 *
 * @param number of the request
 * @param amount work in any window; 0 for no lease
 */
public record LeaseGrant(
        NodeIncarnation node, ProcessIdentity requester, long number, double amount) {}
