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
 * Owner of the open client connections: registers them, reaps idle ones, and closes those between
 * requests at shutdown. All of it runs on the I/O thread alone.
 *
 * <p>A connection is closed only at the second look that finds it idle: a request that has come but
 * was not read yet, because the router itself is late, is read between the two looks.
 */
final class ClientConnections {
    /** Between two looks of the reaper. */
    static final Duration REAP_INTERVAL = Duration.ofMillis(100);

    /**
     * How long a connection may be without a whole request, from its opening or its last answer.
     * The protocol has clients let go after 2 s, and a bad client be cut off within 3 s of its
     * connecting.
     */
    private static final Duration MAX_IDLE = Duration.ofMillis(2200);

    /** Connections kept free, so that a client soon finds room while others stand idle. */
    private static final int RESERVED_CONNECTIONS = 8;

    /** Every client is left this long to send, however many connect. */
    private static final Duration MIN_IDLE = Duration.ofMillis(200);

    private final XnioIoThread ioThread;
    private final HttpOpenListener httpListener;
    private final ServerLifecycle lifecycle;
    private final int maxConnections;

    /** The longest idle first. */
    private final Set<ClientConnection> open = new LinkedHashSet<>();

    ClientConnections(
            XnioIoThread ioThread,
            HttpOpenListener httpListener,
            ServerLifecycle lifecycle,
            int maxConnections) {
        this.ioThread = ioThread;
        this.httpListener = httpListener;
        this.lifecycle = lifecycle;
        this.maxConnections = maxConnections;
    }

    /** Takes over an accepted socket and has HTTP spoken on it. */
    void register(StreamConnection socket) {
        ClientConnection connection = new ClientConnection(socket);
        open.add(connection);
        socket.setCloseListener(
                closed -> {
                    open.remove(connection);
                    IoUtils.safeClose(connection);
                });
        httpListener.handleEvent(connection);
    }

    /** Counts the request as in progress until the last byte of its response is written. */
    void trackRequest(HttpServerExchange exchange) {
        ClientConnection connection = ClientConnection.of(exchange);
        connection.requestStarted();
        exchange.addExchangeCompleteListener(
                (completed, next) -> {
                    connection.requestFinished();
                    moveToEnd(connection);
                    next.proceed();
                    if (lifecycle.isClosing()) {
                        // Nothing looks at it any more; a response that said it is kept was sent
                        // before the close.
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

    /** Whether further clients have to wait until a connection is closed. */
    boolean isFull() {
        return open.size() >= maxConnections;
    }

    boolean hasRequestInProgress() {
        return open.stream().anyMatch(ClientConnection::isRequestInProgress);
    }

    /** Reaps from now on, every {@link #REAP_INTERVAL}. */
    void startReaping() {
        ioThread.executeAfter(this::reap, REAP_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Guards against clients that take connections and do not use them, by the hundred or one by
     * one for good. Where few are free, those that never sent a request go sooner, then as many of
     * the others as are needed, the longest idle first. Where all are in use, further clients wait
     * to be accepted.
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

    /** Closes at most so many that have been idle for so long, the longest idle first. */
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
     * Closes the connections between requests that an earlier call has marked, and marks the
     * others.
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
