package postbeam.datanodes;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.xnio.XnioIoThread;
import postbeam.dispatch.AttemptListener;
import postbeam.dispatch.AttemptResult;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.model.AttemptOutcome;

/**
 * Sends attempts and health checks to data nodes and reports how they end. Its methods may be
 * called on any thread unless they say otherwise: all work is handed over to one I/O thread, which
 * the connections and everything in them belong to.
 */
public final class DataNodeClient {
    private final XnioIoThread ioThread;
    private final AttemptListener listener;
    private final ConnectionPool pool;
    private final char probeType;

    /**
     * A client without connections; they are opened as they are needed.
     *
     * @param ioThread owns all connections
     * @param listener is told how attempts and health checks end
     * @param maxAttemptsPerConnection further ones go on another connection
     * @param connectTimeout after which a connection that is not up has failed
     * @param maxIdle after which an unused connection is closed
     * @param maxConnections over all data nodes
     * @param loadReports whether health checks ask for a load report
     */
    public DataNodeClient(
            XnioIoThread ioThread,
            AttemptListener listener,
            int maxAttemptsPerConnection,
            Duration connectTimeout,
            Duration maxIdle,
            int maxConnections,
            boolean loadReports) {
        this.ioThread = ioThread;
        this.listener = listener;
        this.pool =
                new ConnectionPool(
                        ioThread,
                        listener,
                        maxAttemptsPerConnection,
                        connectTimeout,
                        maxIdle,
                        maxConnections);
        this.probeType = loadReports ? FrameCodec.LOAD_PROBE : FrameCodec.PROBE;
        pool.startSweeping();
    }

    /** Sends these attempts to the node at the address (HOST:PORT), together in one frame. */
    public void send(String address, List<DispatchedAttempt> attempts) {
        ioThread.execute(
                () ->
                        pool.acquire(address, attempts.size())
                                .ifPresentOrElse(
                                        connection -> connection.send(attempts),
                                        () -> reportUnreachable(attempts)));
    }

    private void reportUnreachable(List<DispatchedAttempt> attempts) {
        listener.onAttemptResults(
                attempts.stream()
                        .map(attempt -> new AttemptResult(attempt, AttemptOutcome.UNREACHABLE))
                        .toList());
    }

    /** Tells the attempt's node that nobody waits for it any more; nothing if it has ended. */
    public void cancel(DispatchedAttempt attempt) {
        ioThread.execute(
                () ->
                        pool.connectionOf(attempt)
                                .ifPresent(connection -> connection.cancel(attempt)));
    }

    /** Asks the node at the address (HOST:PORT) how it is. */
    public void probe(String node, String address) {
        ioThread.execute(
                () -> {
                    Optional<NodeConnection> connection = pool.acquire(address, 0);
                    if (connection.isPresent()) {
                        connection.get().probe(node, probeType);
                    } else {
                        listener.onHealthCheck(node, false);
                    }
                });
    }

    /** How many attempts and connections there are, for the log; to be called on the I/O thread. */
    public String describe() {
        return pool.attemptsInFlight()
                + " calls on "
                + pool.connectionCount()
                + " connections to data nodes";
    }
}
