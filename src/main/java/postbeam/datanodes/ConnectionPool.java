package postbeam.datanodes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;
import postbeam.config.RouterConfig;
import postbeam.dispatch.AttemptListener;
import postbeam.dispatch.DispatchedAttempt;

/**
 * Owns the connections to data nodes from opening to close and limits their total number. Used only
 * on the I/O thread.
 */
final class ConnectionPool {
    private static final System.Logger LOG = System.getLogger(ConnectionPool.class.getName());

    private static final long MIN_SWEEP_INTERVAL_MILLIS = 100;

    /** Sweeps per idle time: a connection is closed at most a tenth of the idle time late. */
    private static final int SWEEPS_PER_IDLE_TIME = 10;

    private final XnioIoThread ioThread;
    private final AttemptListener listener;
    private final int maxAttemptsPerConnection;
    private final Duration connectTimeout;
    private final Duration maxIdle;
    private final int maxConnections;
    private final Map<String, List<NodeConnection>> byAddress = new LinkedHashMap<>();

    /** Connections by the attempts in flight on them. */
    private final IdentityHashMap<DispatchedAttempt, NodeConnection> byAttempt =
            new IdentityHashMap<>();

    private int connectionCount;

    ConnectionPool(
            XnioIoThread ioThread,
            AttemptListener listener,
            int maxAttemptsPerConnection,
            Duration connectTimeout,
            Duration maxIdle,
            int maxConnections) {
        this.ioThread = ioThread;
        this.listener = listener;
        this.maxAttemptsPerConnection = maxAttemptsPerConnection;
        this.connectTimeout = connectTimeout;
        this.maxIdle = maxIdle;
        this.maxConnections = maxConnections;
    }

    /**
     * Returns a connection that accepts this number of further attempts; opens one if none does.
     *
     * @param address HOST:PORT of the node
     * @return empty if the connection limit is reached or the connection can't be opened
     */
    Optional<NodeConnection> acquire(String address, int attempts) {
        Optional<NodeConnection> existing = findWithCapacity(address, attempts);
        while (existing.isPresent() && !existing.get().checkOpenIfIdle()) {
            existing = findWithCapacity(address, attempts);
        }
        if (existing.isPresent()) {
            return existing;
        }
        if (connectionCount >= maxConnections) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "no connection to {0}: the limit of {1} is reached",
                    address,
                    maxConnections);
            return Optional.empty();
        }
        return open(address);
    }

    private Optional<NodeConnection> findWithCapacity(String address, int attempts) {
        return byAddress.getOrDefault(address, List.of()).stream()
                .filter(connection -> connection.hasCapacityFor(attempts, maxAttemptsPerConnection))
                .findFirst();
    }

    private Optional<NodeConnection> open(String address) {
        NodeConnection connection =
                new NodeConnection(this, listener, address, connectTimeout, maxIdle);
        try {
            connection.open(ioThread, RouterConfig.socketAddress(address));
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "can't open a connection to " + address, e);
            return Optional.empty();
        }
        // A connection whose opening throws is not registered and needs no cleanup. Later failures
        // are reported by connectionClosed.
        byAddress.computeIfAbsent(address, key -> new ArrayList<>()).add(connection);
        connectionCount++;
        return Optional.of(connection);
    }

    /** Returns the connection that the attempt is in flight on; empty if it is not in flight. */
    Optional<NodeConnection> connectionOf(DispatchedAttempt attempt) {
        return Optional.ofNullable(byAttempt.get(attempt));
    }

    int connectionCount() {
        return connectionCount;
    }

    int attemptsInFlight() {
        return byAttempt.size();
    }

    // ---- called by the connections

    void attemptStarted(DispatchedAttempt attempt, NodeConnection connection) {
        byAttempt.put(attempt, connection);
    }

    void attemptEnded(DispatchedAttempt attempt) {
        byAttempt.remove(attempt);
    }

    void connectionClosed(NodeConnection connection) {
        List<NodeConnection> connections = byAddress.get(connection.address());
        if (connections != null && connections.remove(connection)) {
            connectionCount--;
            if (connections.isEmpty()) {
                byAddress.remove(connection.address());
            }
        }
    }

    // ---- idle connections

    /** Schedules the next sweep, which closes idle connections and schedules the one after it. */
    void startSweeping() {
        long interval =
                Math.max(MIN_SWEEP_INTERVAL_MILLIS, maxIdle.toMillis() / SWEEPS_PER_IDLE_TIME);
        ioThread.executeAfter(this::sweep, interval, TimeUnit.MILLISECONDS);
    }

    private void sweep() {
        startSweeping();
        for (List<NodeConnection> connections : List.copyOf(byAddress.values())) {
            for (NodeConnection connection : List.copyOf(connections)) {
                connection.closeIfIdle();
            }
        }
    }
}
