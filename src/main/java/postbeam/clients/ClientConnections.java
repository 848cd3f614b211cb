package postbeam.clients;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Owns the open client connections: registers them, closes idle ones, and at shutdown closes those
 * between requests. Used only on the I/O thread.
 *
 * <p>A connection is closed only when two consecutive checks find it idle. If the router is late, a
 * request may have been received and not yet read; it is then read between the two checks.
 */
final class ClientConnections {
    /** Interval between two checks for idle connections. */
    static final Duration REAP_INTERVAL = Duration.ofMillis(100);

    /**
     * Time for which a connection may be without a complete request, after its opening or its last
     * response. By the protocol, clients close idle connections after 2 s, and a misbehaving client
     * is cut off within 3 s after it connected.
     */
    private static final Duration MAX_IDLE = Duration.ofMillis(2200);

    /** Connections kept free, so that new clients are accepted while others are idle. */
    private static final int RESERVED_CONNECTIONS = 8;

    /** Minimum time that each client has to send a request, however many clients connect. */
    private static final Duration MIN_IDLE = Duration.ofMillis(200);

    private final XnioIoThread ioThread;
    private final HttpOpenListener httpListener;
    private final ServerLifecycle lifecycle;
    private final int maxConnections;
    private final RequestMemory requestMemory;

    /** Open connections, the longest idle first. */
    private final Set<ClientConnection> open = new LinkedHashSet<>();

    ClientConnections(
            XnioIoThread ioThread,
            HttpOpenListener httpListener,
            ServerLifecycle lifecycle,
            ClientLimits limits) {
        this.ioThread = ioThread;
        this.httpListener = httpListener;
        this.lifecycle = lifecycle;
        this.maxConnections = limits.maxConnections();
        this.requestMemory = new RequestMemory(limits.sharedRequestBytes());
    }

    /** Registers an accepted socket and passes it to the HTTP listener. */
    void register(StreamConnection socket) {
        ClientConnection connection = new ClientConnection(socket, requestMemory.new Reservation());
        open.add(connection);
        socket.setCloseListener(
                closed -> {
                    open.remove(connection);
                    IoUtils.safeClose(connection);
                });
        httpListener.handleEvent(connection);
    }

    /** Marks a request as in progress until the last byte of its response is written. */
    void trackRequest(HttpServerExchange exchange) {
        ClientConnection connection = ClientConnection.of(exchange);
        connection.requestStarted();
        exchange.addExchangeCompleteListener(
                (completed, next) -> {
                    connection.requestFinished();
                    moveToEnd(connection);
                    next.proceed();
                    if (lifecycle.isClosing()) {
                        // No later check closes this connection. Its response may have announced a
                        // persistent connection if it was sent before the server was closed.
                        IoUtils.safeClose(connection);
                    }
                });
    }

    private void moveToEnd(ClientConnection connection) {
        if (open.remove(connection)) {
            open.add(connection);
        }
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    /** Returns whether the connection limit is reached, so that further clients have to wait. */
    boolean isFull() {
        return open.size() >= maxConnections;
    }

    boolean hasRequestInProgress() {
        return open.stream().anyMatch(ClientConnection::isRequestInProgress);
    }

    /** Schedules the next check, which schedules the one after it. */
    void startReaping() {
        ioThread.executeAfter(this::reap, REAP_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Closes idle connections, so that clients that open connections without using them can't use
     * up the limit. If fewer than {@link #RESERVED_CONNECTIONS} are free, connections that never
     * sent a request are closed earlier, then as many others as needed, the longest idle first. If
     * all connections are in use, further clients wait to be accepted.
     */
    private void reap() {
        startReaping();
        closeIdle(open.size(), MAX_IDLE, connection -> true);
        if (open.size() + RESERVED_CONNECTIONS > maxConnections) {
            closeIdle(open.size(), MIN_IDLE, connection -> !connection.hasSentRequest());
            closeIdle(
                    open.size() + RESERVED_CONNECTIONS - maxConnections,
                    MIN_IDLE,
                    connection -> true);
        }
    }

    /**
     * Marks or closes connections that have been idle for a time, the longest idle first.
     *
     * @param limit number of connections to handle at most; may be negative
     */
    private void closeIdle(int limit, Duration idleTime, Predicate<ClientConnection> eligible) {
        long idleBefore = System.nanoTime() - idleTime.toNanos();
        List<ClientConnection> due =
                open.stream()
                        .filter(
                                connection ->
                                        connection.isIdleSince(idleBefore)
                                                && eligible.test(connection))
                        .limit(Math.max(0, limit))
                        .toList();
        for (ClientConnection connection : due) {
            if (connection.markForClose()) {
                connection.closeImmediately();
            }
        }
    }

    /**
     * Closes the connections between requests that an earlier call marked, and marks the others.
     *
     * @return whether no connection is left between requests
     */
    boolean closeAllIdle() {
        boolean allClosed = true;
        for (ClientConnection connection : List.copyOf(open)) {
            if (connection.isRequestInProgress()) {
                continue;
            }
            if (connection.markForClose()) {
                IoUtils.safeClose(connection);
            } else {
                allClosed = false;
            }
        }
        return allClosed;
    }
}
