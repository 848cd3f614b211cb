package postbeam.router;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.function.BooleanSupplier;
import org.xnio.XnioIoThread;
import postbeam.clients.QueryServer;

/**
 * Drains the connections of clients: serves on for as long as {@link ShutdownDeadlines} allows, so
 * that clients with connections are served while a successor starts, then answers all accepted
 * queries and closes. Holds no lock.
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

    /** Serves until the deadline, or until no client is connected and none can be on its way. */
    void keepServing() throws InterruptedException {
        queryServer.beginDraining(deadlines.finalAnswersBy());
        Thread.sleep(ShutdownDeadlines.LATE_CONNECT_WINDOW.toMillis());
        while (elapsedNanos() < deadlines.servingEnds().toNanos()
                && !onIoThread(queryServer::hasNoConnections)) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    /** Stops accepting queries and answers those that were accepted. */
    void finishAcceptedQueries() throws InterruptedException {
        queryServer.close();
        // Looked at on the thread that reads requests: none can begin after the last look.
        while (!onIoThread(queryServer::isDrained)) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        // The process' end closes what is left: over unread bytes that is a reset, which would take
        // the last answer along.
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
            throw new IllegalStateException("looking at the clients' connections failed", e);
        }
    }
}
