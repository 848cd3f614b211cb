package postbeam.router;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.function.BooleanSupplier;
import org.xnio.XnioIoThread;
import postbeam.clients.QueryServer;

/**
 * Drains the client connections. First it continues to serve for as long as {@link
 * ShutdownDeadlines} allows, so that connected clients are served while a successor starts; then it
 * answers all accepted queries and closes. Takes no lock.
 */
final class GracefulShutdown {
    private static final long POLL_INTERVAL_MILLIS = 10;

    private final QueryServer queryServer;
    private final XnioIoThread ioThread;
    private final ShutdownDeadlines deadlines;
    private final long requestedNanos = System.nanoTime();

    GracefulShutdown(QueryServer queryServer, XnioIoThread ioThread, ShutdownDeadlines deadlines) {
        this.queryServer = queryServer;
        this.ioThread = ioThread;
        this.deadlines = deadlines;
    }

    /**
     * Serves until the deadline, or until no client is connected and none can still be connecting.
     */
    void keepServing() throws InterruptedException {
        queryServer.beginDraining(deadlines.finalAnswersBy());
        Thread.sleep(ShutdownDeadlines.LATE_CONNECT_WINDOW.toMillis());
        while (elapsedNanos() < deadlines.servingEnds().toNanos()
                && !onIoThread(queryServer::hasNoConnections)) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    /**
     * Stops accepting queries and waits until the accepted ones are answered; then continues to
     * read from open connections until they are closed or the deadline has passed.
     */
    void finishAcceptedQueries() throws InterruptedException {
        queryServer.close();
        // Evaluated on the thread that reads requests: no request can begin after the last check.
        while (!onIoThread(queryServer::isDrained)) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        // Connections that are still open are closed when the process ends. If they hold unread
        // bytes, the close becomes a reset, which could discard the last answer.
        while (elapsedNanos() < deadlines.readsDrainedBy().toNanos()
                && !onIoThread(queryServer::hasNoConnections)) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private long elapsedNanos() {
        return System.nanoTime() - requestedNanos;
    }

    private boolean onIoThread(BooleanSupplier condition) throws InterruptedException {
        FutureTask<Boolean> result = new FutureTask<>(condition::getAsBoolean);
        ioThread.execute(result);
        try {
            return result.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(
                    "reading the state of the client connections failed", e);
        }
    }
}
