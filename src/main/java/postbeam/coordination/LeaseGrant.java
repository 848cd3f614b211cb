package postbeam.coordination;

/**
 * The response to a {@link LeaseRequest}. The requester computes the end of the lease by its own
 * clock, from the time of its request.
 *
 * @param requestNumber the number of the request
 * @param amount work that the lease allows in any window; 0 if no lease is granted
 */
public record LeaseGrant(
        NodeIncarnation node, ProcessIdentity requester, long requestNumber, double amount) {}
