package postbeam.router;

import java.io.IOException;
import postbeam.clients.ClientLimits;
import postbeam.config.RouterConfig;

/**
 * Limits of connections and of the memory for requests, derived from the file descriptors and the
 * memory that the configuration grants to a router, and from the heap that the program was started
 * with.
 */
record RouterLimits(ClientLimits clients, int maxNodeConnections) {
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
     * Part of the heap that requests may share. The rest is for what each connection may hold in
     * any case, heads included, and for the program itself.
     */
    private static final int HEAP_PER_SHARED_REQUEST_MEMORY = 6;

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
        long sharedRequestBytes = Runtime.getRuntime().maxMemory() / HEAP_PER_SHARED_REQUEST_MEMORY;
        return new RouterLimits(
                new ClientLimits(maxClients, sharedRequestBytes),
                connectionDescriptors - maxClients);
    }
}
