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

    private final QueryServer clients;
    private final XnioIoThread ioThread;
    private final ShutdownDeadlines deadlines;
    private final long requestedNanos = System.nanoTime();

    GracefulShutdown(QueryServer clients, XnioIoThread ioThread, ShutdownDeadlines deadlines) {
        this.clients = clients;
        this.ioThread = ioThread;
        this.deadlines = deadlines;
    }

    /** Serves until the deadline, or until no client is connected and none can be on its way. */
    void serveOn() throws InterruptedException {
        clients.beginDraining(deadlines.finalAnswersBy());
        Thread.sleep(ShutdownDeadlines.LATE_CONNECT_WINDOW.toMillis());
        while (elapsedNanos() < deadlines.servingEnds().toNanos()
                && !onIoThread(clients::hasNoConnections)) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    /** Stops accepting queries and answers those that were accepted. */
    void answerAccepted() throws InterruptedException {
        clients.close();
        // Looked at on the thread that reads requests: none can begin after the last look.
        while (!onIoThread(clients::isDrained)) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        // The process' end closes what is left: over unread bytes that is a reset, which would take
        // the last answer along.
        while (elapsedNanos() < deadlines.readsDrainedBy().toNanos()
                && !onIoThread(clients::hasNoConnections)) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private long elapsedNanos() {
        return System.nanoTime() - requestedNanos;
    }

    private boolean onIoThread(BooleanSupplier question) throws InterruptedException {
        FutureTask<Boolean> answer = new FutureTask<>(question::getAsBoolean);
        ioThread.execute(answer);
        try {
            return answer.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException("looking at the clients' connections failed", e);
        }
    }
}
