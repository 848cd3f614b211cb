package postbeam.router;

import java.io.IOException;
import postbeam.config.RouterConfig;

/**
 * Maximum numbers of connections, derived from the file descriptors and the memory that the
 * configuration grants to a router.
 */
record RouterLimits(int maxClientConnections, int maxNodeConnections) {
    /**
     * Number of file descriptors reserved for the program itself: jars, standard streams,
     * selectors, discovery.
     */
    private static final int RESERVED_DESCRIPTORS = 64;

    private static final int MIN_DESCRIPTORS = 2 * RESERVED_DESCRIPTORS;
    private static final int MIN_MEMORY_MB = 64;

    /** Memory that the program needs without clients, with the heap at its usual size. */
    private static final int BASE_MEMORY_MB = 72;

    /** Connections per MB: each may have a thread, which takes about 0.1 MB with its query. */
    private static final int CLIENTS_PER_MB = 8;

    private static final int MIN_CLIENT_CONNECTIONS = 16;

    /**
     * Derives the limits from the configuration.
     *
     * @throws IOException if a configured limit is missing or too low; the message names it
     */
    static RouterLimits of(RouterConfig config) throws IOException {
        int connectionDescriptors = config.limit("sockets", MIN_DESCRIPTORS) - RESERVED_DESCRIPTORS;
        int spareMemoryMb = config.limit("memory_mb", MIN_MEMORY_MB) - BASE_MEMORY_MB;
        int maxClientsByMemory = Math.max(MIN_CLIENT_CONNECTIONS, CLIENTS_PER_MB * spareMemoryMb);
        int maxClients = Math.min(connectionDescriptors / 2, maxClientsByMemory);
        return new RouterLimits(maxClients, connectionDescriptors - maxClients);
    }
}
