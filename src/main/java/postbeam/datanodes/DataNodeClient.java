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
 * Sends attempts and health checks to data nodes and reports their results to a listener. The
 * methods may be called on any thread unless they state otherwise. All work is passed to one I/O
 * thread, which owns the connections and their state.
 */
public final class DataNodeClient {
    private final XnioIoThread ioThread;
    private final AttemptListener listener;
    private final ConnectionPool pool;
    private final char probeType;

    /**
     * Creates a client without connections; they are opened on demand.
     *
     * @param ioThread runs all reads, writes and timers of the connections
     * @param listener receives the results of attempts and health checks
     * @param maxAttemptsPerConnection attempts in flight on a connection; further ones use another
     * @param connectTimeout time within which a connection has to be established
     * @param maxIdle time after which an unused connection is closed
     * @param maxConnections limit over all data nodes
     * @param loadReports whether health checks request a load report
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

    /** Sends the attempts to the node at the address (HOST:PORT), together in one frame. */
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

    /** Cancels the attempt at its node; does nothing if it is not in flight. */
    public void cancel(DispatchedAttempt attempt) {
        ioThread.execute(
                () ->
                        pool.connectionOf(attempt)
                                .ifPresent(connection -> connection.cancel(attempt)));
    }

    /** Sends a health check to the node at the address (HOST:PORT). */
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

    /** Describes the counts of attempts and connections for the log. Call on the I/O thread. */
    public String describe() {
        return pool.attemptsInFlight()
                + " calls on "
                + pool.connectionCount()
                + " connections to data nodes";
    }
}
