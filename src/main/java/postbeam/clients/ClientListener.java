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
 * Owns the listening socket. At the connection limit it stops accepting, and further clients wait
 * in the kernel's backlog until a connection is closed.
 */
final class ClientListener {
    private static final System.Logger LOG = System.getLogger(ClientListener.class.getName());

    /** Size of the kernel's backlog of connections that are not accepted yet. */
    private static final int BACKLOG = 1000;

    private final XnioWorker worker;
    private final InetSocketAddress listenAddress;
    private final int maxConnections;
    private final ClientConnections connections;
    private AcceptingChannel<StreamConnection> server;

    /** Used only on the I/O thread. */
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

    /**
     * Starts to listen.
     *
     * @throws IOException if the address can't be bound
     */
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

    /** Returns the bound address as HOST:PORT, with the actual port if port 0 was requested. */
    String address() {
        InetSocketAddress local = server.getLocalAddress(InetSocketAddress.class);
        return local.getAddress().getHostAddress() + ":" + local.getPort();
    }

    /** Accepts one connection; returns false if none is waiting or it can't be accepted. */
    private boolean accept(AcceptingChannel<StreamConnection> channel) {
        try {
            StreamConnection socket = channel.accept();
            if (socket != null) {
                accepted++;
                connections.register(socket);
                return true;
            }
        } catch (ClosedChannelException e) {
            // A late notification: its connection was accepted before the listening socket was
            // closed.
            return false;
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "can''t accept a client connection: {0}", e);
        }
        return false;
    }

    /** Returns the number of accepted connections. Call on the I/O thread. */
    long acceptedCount() {
        return accepted;
    }

    /**
     * Accepts the connections that XNIO has taken from the backlog. The number is limited, as
     * clients may connect without end.
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

    /** Stops listening; connections that are still in the backlog are reset. */
    void close() {
        IoUtils.safeClose(server);
        acceptWaiting();
    }
}
