package postbeam.router;

import java.io.IOException;
import postbeam.config.RouterConfig;

/**
 * How many connections a router may have, by the file descriptors and the memory that its
 * configuration grants.
 */
record RouterLimits(int maxClientConnections, int maxNodeConnections) {
    /** Descriptors for the program itself: jars, standard streams, selectors, discovery. */
    private static final int OWN_DESCRIPTORS = 64;

    private static final int MIN_DESCRIPTORS = 2 * OWN_DESCRIPTORS;
    private static final int MIN_MEMORY_MB = 64;

    /** What the program takes without clients, with its heap at its usual size. */
    private static final int OWN_MEMORY_MB = 72;

    /** A connection may have a thread, which takes about 0.1 MB with its query. */
    private static final int CLIENTS_PER_MB = 8;

    private static final int MIN_CLIENT_CONNECTIONS = 16;

    /**
     * Reads the limits.
     *
     * @throws IOException if one is missing or too low; it names which
     */
    static RouterLimits of(RouterConfig config) throws IOException {
        int descriptors = config.limit("sockets", MIN_DESCRIPTORS) - OWN_DESCRIPTORS;
        int spareMemoryMb = config.limit("memory_mb", MIN_MEMORY_MB) - OWN_MEMORY_MB;
        int clients = Math.max(MIN_CLIENT_CONNECTIONS, CLIENTS_PER_MB * spareMemoryMb);
        int maxClients = Math.min(descriptors / 2, clients);
        return new RouterLimits(maxClients, descriptors - maxClients);
    }
}
