package postbeam.coordination;

/**
 * Answers a {@link LeaseRequest}: so much in any window, until the end that the router reckons;
 * zero is no lease.
 */
public record LeaseGrant(
        NodeIncarnation node, ProcessIdentity requester, long number, double amount) {}
