package postbeam.clients;

/**
 * Limits of a {@link QueryServer}.
 *
 * @param maxConnections limit of open connections; further clients wait in the kernel's backlog
 * @param sharedRequestBytes memory that the requests of all connections may hold together, beyond
 *     what each connection may hold in any case; see {@link RequestMemory}
 */
public record ClientLimits(int maxConnections, long sharedRequestBytes) {}
