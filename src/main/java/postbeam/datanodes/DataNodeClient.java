package postbeam.datanodes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;
import postbeam.config.RouterConfig;
import postbeam.dispatch.AttemptListener;
import postbeam.dispatch.AttemptResult;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.model.AttemptOutcome;

/**
 * The connections to data nodes. All of it lives on one I/O thread; calls from others are handed
 * over to it. Owner of the connections: each is kept here from its opening until {@link
 * NodeConnection#close}.
 */
public final class DataNodeClient {
    private static final System.Logger LOG = System.getLogger(DataNodeClient.class.getName());

    private final XnioIoThread ioThread;
    private final AttemptListener listener;
    private final int maxPartsPerConnection;
    private final Duration connectTimeout;
    private final Duration maxIdle;
    private final int maxConnections;
    private final char probeLetter;
    private final Map<String, List<NodeConnection>> connectionsByAddress = new LinkedHashMap<>();

    /** Which connection each call is out on, from its writing to its end. */
    private final Map<DispatchedAttempt, NodeConnection> connectionByAttempt =
            new IdentityHashMap<>();

    private int connectionCount;

    public DataNodeClient(
            XnioIoThread io,
            AttemptListener listener,
            int partsAConnection,
            Duration connectWithin,
            Duration idleMost,
            int connectionsMost,
            boolean loadReports) {
        this.ioThread = io;
        this.listener = listener;
        this.maxPartsPerConnection = partsAConnection;
        this.connectTimeout = connectWithin;
        this.maxIdle = idleMost;
        this.maxConnections = connectionsMost;
        this.probeLetter = loadReports ? FrameCodec.LOAD_PROBE : FrameCodec.PROBE;
        io.executeAfter(this::closeIdleConnections, sweepIntervalMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Sends these calls to the node at the address, together in one frame; may be called on any
     * thread.
     */
    public void send(String address, List<DispatchedAttempt> calls) {
        ioThread.execute(
                () -> {
                    NodeConnection connection = connection(address, calls.size());
                    if (connection == null) {
                        listener.onAttemptResults(
                                calls.stream()
                                        .map(
                                                call ->
                                                        new AttemptResult(
                                                                call, AttemptOutcome.UNREACHABLE))
                                        .toList());
                    } else {
                        connection.send(calls);
                    }
                });
    }

    /** Tells the call's node that nobody waits for it any more; may be called on any thread. */
    public void cancel(DispatchedAttempt call) {
        ioThread.execute(
                () -> {
                    NodeConnection carrier = connectionByAttempt.get(call);
                    if (carrier != null) {
                        carrier.cancel(call);
                    }
                });
    }

    /** Asks the node at the address how it is; may be called on any thread. */
    public void probe(String node, String address) {
        ioThread.execute(
                () -> {
                    NodeConnection connection = connection(address, 0);
                    if (connection == null) {
                        listener.onHealthCheck(node, false);
                    } else {
                        connection.probe(node, probeLetter);
                    }
                });
    }

    /**
     * An open connection with room for so many parts more, else a new one; null where none can be
     * had.
     */
    private NodeConnection connection(String address, int parts) {
        for (NodeConnection connection : connectionsByAddress.getOrDefault(address, List.of())) {
            if (connection.hasCapacityFor(parts, maxPartsPerConnection)) {
                return connection;
            }
        }
        if (connectionCount >= maxConnections) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "no connection to {0}: the limit of {1} is reached",
                    address,
                    maxConnections);
            return null;
        }
        NodeConnection connection =
                new NodeConnection(this, listener, address, connectTimeout, maxIdle);
        try {
            connection.open(ioThread, RouterConfig.socketAddress(address));
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "no connection to " + address, e);
            return null;
        }
        // Kept from here on: what failed to open at once has nothing to give back, and its end
        // comes later.
        connectionsByAddress.computeIfAbsent(address, key -> new ArrayList<>()).add(connection);
        connectionCount++;
        return connection;
    }

    /** Calls that are out on the sockets, and connections; to be asked on the I/O thread. */
    public String describe() {
        return connectionByAttempt.size()
                + " calls on "
                + connectionCount
                + " connections to data nodes";
    }

    void attemptStarted(DispatchedAttempt call, NodeConnection connection) {
        connectionByAttempt.put(call, connection);
    }

    void attemptEnded(DispatchedAttempt call) {
        connectionByAttempt.remove(call);
    }

    /** A connection has been closed. */
    void connectionClosed(NodeConnection connection) {
        List<NodeConnection> peer = connectionsByAddress.get(connection.address);
        if (peer != null && peer.remove(connection)) {
            connectionCount--;
            if (peer.isEmpty()) {
                connectionsByAddress.remove(connection.address);
            }
        }
    }

    private long sweepIntervalMillis() {
        return Math.max(100, maxIdle.toMillis() / 10);
    }

    /** Closes what has stood idle. */
    private void closeIdleConnections() {
        ioThread.executeAfter(
                this::closeIdleConnections, sweepIntervalMillis(), TimeUnit.MILLISECONDS);
        for (List<NodeConnection> peer : List.copyOf(connectionsByAddress.values())) {
            for (NodeConnection connection : List.copyOf(peer)) {
                connection.closeIfIdle();
            }
        }
    }
}
