package postbeam.shared;

/**
 * Answers a {@link LeaseAsk}: so much in any window, until the end that the router reckons; zero is
 * no lease.
 */
public record LeaseGrant(NodeKey node, Who router, long number, double amount) {}
