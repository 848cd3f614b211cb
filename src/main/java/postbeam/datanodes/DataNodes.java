package postbeam.datanodes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;
import postbeam.dispatch.AttemptListener;
import postbeam.router.Call;
import postbeam.router.Ending;
import postbeam.setup.Startup;
import postbeam.state.Outcome;

/**
 * The connections to data nodes. All of it lives on one I/O thread; calls from others are handed
 * over to it. Owner of the connections: each is kept here from its opening until {@link
 * NodeConnection#close}.
 */
public final class DataNodes {
    private static final System.Logger LOG = System.getLogger(DataNodes.class.getName());

    private final XnioIoThread io;
    private final AttemptListener listener;
    private final int partsAConnection;
    private final Duration connectWithin;
    private final Duration idleMost;
    private final int connectionsMost;
    private final char probeLetter;
    private final Map<String, List<NodeConnection>> peers = new LinkedHashMap<>();

    /** Which connection each call is out on, from its writing to its end. */
    private final Map<Call, NodeConnection> carriers = new IdentityHashMap<>();

    private int connections;

    public DataNodes(
            XnioIoThread io,
            AttemptListener listener,
            int partsAConnection,
            Duration connectWithin,
            Duration idleMost,
            int connectionsMost,
            boolean loadReports) {
        this.io = io;
        this.listener = listener;
        this.partsAConnection = partsAConnection;
        this.connectWithin = connectWithin;
        this.idleMost = idleMost;
        this.connectionsMost = connectionsMost;
        this.probeLetter = loadReports ? Frames.LOAD_PROBE : Frames.PROBE;
        io.executeAfter(this::sweep, sweepEvery(), TimeUnit.MILLISECONDS);
    }

    /**
     * Sends these calls to the node at the address, together in one frame; may be called on any
     * thread.
     */
    public void send(String address, List<Call> calls) {
        io.execute(
                () -> {
                    NodeConnection connection = connection(address, calls.size());
                    if (connection == null) {
                        listener.report(
                                calls.stream()
                                        .map(call -> new Ending(call, Outcome.UNREACHABLE))
                                        .toList());
                    } else {
                        connection.send(calls);
                    }
                });
    }

    /** Tells the call's node that nobody waits for it any more; may be called on any thread. */
    public void giveUp(Call call) {
        io.execute(
                () -> {
                    NodeConnection carrier = carriers.get(call);
                    if (carrier != null) {
                        carrier.giveUp(call);
                    }
                });
    }

    /** Asks the node at the address how it is; may be called on any thread. */
    public void probe(String node, String address) {
        io.execute(
                () -> {
                    NodeConnection connection = connection(address, 0);
                    if (connection == null) {
                        listener.probed(node, false);
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
        for (NodeConnection connection : peers.getOrDefault(address, List.of())) {
            if (connection.takes(parts, partsAConnection)) {
                return connection;
            }
        }
        if (connections >= connectionsMost) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "no connection to {0}: the limit of {1} is reached",
                    address,
                    connectionsMost);
            return null;
        }
        NodeConnection connection =
                new NodeConnection(this, listener, address, connectWithin, idleMost);
        try {
            connection.open(io, Startup.socketAddress(address));
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "no connection to " + address, e);
            return null;
        }
        // Kept from here on: what failed to open at once has nothing to give back, and its end
        // comes later.
        peers.computeIfAbsent(address, key -> new ArrayList<>()).add(connection);
        connections++;
        return connection;
    }

    /** Calls that are out on the sockets, and connections; to be asked on the I/O thread. */
    public String carrying() {
        return carriers.size() + " calls on " + connections + " connections to data nodes";
    }

    void carried(Call call, NodeConnection connection) {
        carriers.put(call, connection);
    }

    void over(Call call) {
        carriers.remove(call);
    }

    /** A connection has been closed. */
    void closed(NodeConnection connection) {
        List<NodeConnection> peer = peers.get(connection.address);
        if (peer != null && peer.remove(connection)) {
            connections--;
            if (peer.isEmpty()) {
                peers.remove(connection.address);
            }
        }
    }

    private long sweepEvery() {
        return Math.max(100, idleMost.toMillis() / 10);
    }

    /** Closes what has stood idle. */
    private void sweep() {
        io.executeAfter(this::sweep, sweepEvery(), TimeUnit.MILLISECONDS);
        for (List<NodeConnection> peer : List.copyOf(peers.values())) {
            for (NodeConnection connection : List.copyOf(peer)) {
                connection.closeIfIdle();
            }
        }
    }
}
