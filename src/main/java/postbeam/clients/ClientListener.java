package postbeam.clients;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Owner of the listening socket. At the connection limit it stops accepting, and the machine's
 * backlog holds further clients until one leaves.
 */
final class ClientListener {
    private static final System.Logger LOG = System.getLogger(ClientListener.class.getName());

    /** Connections that the machine holds until they are accepted. */
    private static final int BACKLOG = 1000;

    private final XnioWorker worker;
    private final InetSocketAddress listenAddress;
    private final int maxConnections;
    private final ClientConnections connections;
    private AcceptingChannel<StreamConnection> server;

    /** On the I/O thread alone. */
    private long accepted;

    ClientListener(
            XnioWorker worker,
            InetSocketAddress listenAddress,
            int maxConnections,
            ClientConnections connections) {
        this.worker = worker;
        this.listenAddress = listenAddress;
        this.maxConnections = maxConnections;
        this.connections = connections;
    }

    /** Starts to listen; an IOException tells why it can't. */
    void open() throws IOException {
        ChannelListener<AcceptingChannel<StreamConnection>> acceptListener = this::accept;
        server =
                worker.createStreamConnectionServer(
                        listenAddress,
                        acceptListener,
                        OptionMap.builder()
                                .set(Options.TCP_NODELAY, true)
                                .set(Options.REUSE_ADDRESSES, true)
                                .set(Options.BACKLOG, BACKLOG)
                                .set(Options.CONNECTION_HIGH_WATER, maxConnections)
                                .set(Options.CONNECTION_LOW_WATER, maxConnections)
                                .getMap());
        server.resumeAccepts();
    }

    /** HOST:PORT that it listens on, with the port that the machine chose for port 0. */
    String address() {
        InetSocketAddress local = server.getLocalAddress(InetSocketAddress.class);
        return local.getAddress().getHostAddress() + ":" + local.getPort();
    }

    /** True if a connection was waiting. */
    private boolean accept(AcceptingChannel<StreamConnection> channel) {
        try {
            StreamConnection socket = channel.accept();
            if (socket != null) {
                accepted++;
                connections.register(socket);
                return true;
            }
        } catch (ClosedChannelException e) {
            // The notification of a connection that was accepted before the socket was closed.
            return false;
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "a client can''t be accepted: {0}", e);
        }
        return false;
    }

    /** How many connections were accepted; to be called on the I/O thread. */
    long acceptedCount() {
        return accepted;
    }

    /**
     * Accepts the connections that XNIO has taken from the backlog. Bounded, as clients may connect
     * without end.
     */
    void acceptWaiting() {
        int taken = 0;
        while (taken < BACKLOG && accept(server)) {
            taken++;
        }
    }

    boolean isOpen() {
        return server.isOpen();
    }

    /** Stops listening; what still waits in the backlog is reset. */
    void close() {
        IoUtils.safeClose(server);
        acceptWaiting();
    }
}
