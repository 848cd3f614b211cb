package postbeam.layoutservice;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import org.xnio.IoUtils;

/**
 * Connections to one node on which a command was given up because its response was overdue. They
 * stay open, as a response shows that the node carried the command out after all, maybe after later
 * commands that it received on other connections. Not thread-safe.
 */
final class OverdueConnections implements Closeable {
    /** A node that answers at all was reached by the oldest of them. */
    private static final int MAX_CONNECTIONS = 4;

    /** TCP gives up retransmitting after about this time. */
    private static final Duration MAX_LATENESS = Duration.ofMinutes(15);

    private static final int READ_TIMEOUT_MILLIS = 1;

    private enum State {
        PENDING,
        RESPONDED,
        /** Closed by the node, or kept for long enough. */
        ENDED
    }

    private record Overdue(Socket socket, long sinceNanos) {}

    /** The oldest first. */
    private final Deque<Overdue> connections = new ArrayDeque<>();

    boolean isEmpty() {
        return connections.isEmpty();
    }

    /** Keeps a connection, or closes it if there are too many. */
    void add(Socket socket) {
        if (connections.size() >= MAX_CONNECTIONS) {
            IoUtils.safeClose(socket);
            return;
        }
        connections.add(new Overdue(socket, System.nanoTime()));
    }

    /**
     * Closes the connections on which a response has arrived, and those on which none can arrive
     * any more.
     *
     * @return whether a response has arrived
     */
    boolean takeResponses() {
        boolean anyResponse = false;
        Iterator<Overdue> remaining = connections.iterator();
        while (remaining.hasNext()) {
            Overdue connection = remaining.next();
            State state = state(connection);
            anyResponse |= state == State.RESPONDED;
            if (state != State.PENDING) {
                IoUtils.safeClose(connection.socket());
                remaining.remove();
            }
        }
        return anyResponse;
    }

    private static State state(Overdue connection) {
        try {
            connection.socket().setSoTimeout(READ_TIMEOUT_MILLIS);
            return connection.socket().getInputStream().read() >= 0 ? State.RESPONDED : State.ENDED;
        } catch (SocketTimeoutException e) {
            boolean expired = System.nanoTime() - connection.sinceNanos() > MAX_LATENESS.toNanos();
            return expired ? State.ENDED : State.PENDING;
        } catch (IOException e) {
            return State.ENDED;
        }
    }

    @Override
    public void close() {
        connections.forEach(connection -> IoUtils.safeClose(connection.socket()));
        connections.clear();
    }
}
