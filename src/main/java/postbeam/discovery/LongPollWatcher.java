package postbeam.discovery;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import postbeam.endpoints.PendingPolls;
import postbeam.endpoints.PollPlan;
import postbeam.endpoints.PollTimings;

/**
 * Watches a versioned document over HTTP by long polling. It fetches the complete document, then
 * changes; {@link PollPlan} decides what it fetches after a failure, and {@link PendingPolls} when,
 * and how long each poll may take. It runs on a thread of its own, which the owner starts; only
 * {@link #stop} may be called on another thread. Each pending poll has a {@link PollConnection},
 * whose thread reports to the watcher's thread. The watcher's lock ensures that no update is
 * delivered after a stop.
 *
 * @param <T> type of an update: a complete document or changes of it
 */
public final class LongPollWatcher<T> implements Runnable {
    private static final System.Logger LOG = System.getLogger(LongPollWatcher.class.getName());

    /**
     * Wait in a request for changes that is to be answered at once. The protocol does not say what
     * a wait of 0 is.
     */
    private static final Duration CATCH_UP_WAIT = Duration.ofMillis(1);

    /**
     * Decodes response bodies.
     *
     * @param <T> type of an update
     */
    public interface Decoder<T> {
        /**
         * Decodes a body. The body is in memory, so that reading it never waits.
         *
         * @throws IOException if the body is invalid; the message states the reason
         */
        T decode(InputStream body) throws IOException;
    }

    /**
     * The document to watch.
     *
     * @param name name of the source in the log
     * @param address HOST:PORT of the server
     * @param path path of the document
     * @param maxBytes limit for the body of a response
     * @param sendsChanges whether the server answers a request for changes with less than the
     *     complete document
     * @param queryParameters supplies further parameters of each request as name=value, or an empty
     *     string
     */
    public record Source(
            String name,
            String address,
            String path,
            int maxBytes,
            boolean sendsChanges,
            Supplier<String> queryParameters) {
        /** Creates a source that sends changes and whose requests have no further parameters. */
        public Source(String name, String address, String path, int maxBytes) {
            this(name, address, path, maxBytes, true, () -> "");
        }
    }

    /** Time after which the client gives up a request that was not abandoned meanwhile. */
    private static final Duration REQUEST_TIMEOUT_MARGIN = Duration.ofSeconds(1);

    private final Source source;
    private final Decoder<T> decoder;
    private final ToLongFunction<T> versionOf;
    private final Consumer<T> onUpdate;
    private final PollTimings timings;
    private final PollListener pollListener;
    private final PollLog log;
    private final PollPlan plan;
    private final PendingPolls pendingPolls;
    private final long startNanos = System.nanoTime();

    /** What the threads of connections report, run on the watcher's thread. */
    private final BlockingQueue<Runnable> events = new LinkedBlockingQueue<>();

    /** Connections of the pending polls. Only used on the watcher's thread. */
    private final Map<PendingPolls.Poll, PollConnection> connections = new HashMap<>();

    /** Connection of the last response, for the next poll; null if there is none. */
    private PollConnection idleConnection;

    /** All open connections, which {@link #stop} closes. Guarded by this. */
    private final Set<PollConnection> openConnections = new HashSet<>();

    /** Set by {@link #stop} under the lock, or when the polling thread is interrupted. */
    private volatile boolean stopped;

    /** Creates a watcher without a listener of polls. */
    public LongPollWatcher(
            Source source,
            Decoder<T> decoder,
            ToLongFunction<T> versionOf,
            Consumer<T> onUpdate,
            PollTimings timings) {
        this(source, decoder, versionOf, onUpdate, timings, PollListener.NONE);
    }

    /**
     * Creates a watcher; {@link #run} starts to poll.
     *
     * @param source the document to watch
     * @param decoder decodes the response bodies
     * @param versionOf returns the version that an update states
     * @param onUpdate receives each update, changed or not; called under the watcher's lock
     * @param timings request timeouts and the pauses between requests
     * @param pollListener is told how each poll ended
     */
    public LongPollWatcher(
            Source source,
            Decoder<T> decoder,
            ToLongFunction<T> versionOf,
            Consumer<T> onUpdate,
            PollTimings timings,
            PollListener pollListener) {
        this.source = source;
        this.decoder = decoder;
        this.versionOf = versionOf;
        this.onUpdate = onUpdate;
        this.timings = timings;
        this.pollListener = pollListener;
        this.log = new PollLog(LOG, source.name(), source.address());
        this.plan = new PollPlan(source.sendsChanges());
        this.pendingPolls = new PendingPolls(timings, plan);
    }

    /** Polls until {@link #stop} is called or the thread is interrupted. */
    @Override
    public void run() {
        try {
            while (!stopped) {
                pendingPolls.startIfDue(now()).ifPresent(this::send);
                handleEvents();
                expirePolls();
            }
        } catch (InterruptedException e) {
            // The owner stops the watcher this way.
        } finally {
            stop();
        }
    }

    private Duration now() {
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    /** Waits until an event is reported or a deadline passes, and handles all reported events. */
    private void handleEvents() throws InterruptedException {
        long waitNanos = pendingPolls.nextEventAt().minus(now()).toNanos();
        Runnable event = events.poll(Math.max(0, waitNanos), TimeUnit.NANOSECONDS);
        while (event != null && !stopped) {
            event.run();
            event = events.poll();
        }
    }

    private void expirePolls() {
        Duration now = now();
        abandon(pendingPolls.abandonIfSuspended(now));
        PendingPolls.Expired expired = pendingPolls.expire(now);
        expired.overdue().forEach(poll -> pollListener.onNoResponse());
        abandon(expired.abandoned());
        Duration silence = pendingPolls.silence(now);
        if (!silence.isZero() && silence.compareTo(timings.silenceThreshold()) >= 0) {
            log.onSilence(silence);
        }
    }

    private void abandon(List<PendingPolls.Poll> polls) {
        polls.forEach(this::closeConnection);
    }

    // ---- requests

    private void send(PendingPolls.Poll poll) {
        try {
            PollConnection connection = idleConnection == null ? open() : idleConnection;
            idleConnection = null;
            if (connection == null) {
                return;
            }
            connections.put(poll, connection);
            Duration timeout = timings.maxDuration(poll.request()).plus(REQUEST_TIMEOUT_MARGIN);
            connection.send(path(poll), timeout, reportTo(poll));
        } catch (RuntimeException | Error e) {
            // For example if no thread can be created.
            handleFailure(poll, e);
        }
    }

    /** Opens a connection; returns null if the watcher is stopped. */
    private synchronized PollConnection open() {
        if (stopped) {
            return null;
        }
        PollConnection connection =
                new PollConnection(source.name() + " poll", source.address(), source.maxBytes());
        openConnections.add(connection);
        return connection;
    }

    /** Closes the connection of a poll that is no longer pending, if it has one. */
    private synchronized void closeConnection(PendingPolls.Poll poll) {
        PollConnection connection = connections.remove(poll);
        if (connection != null) {
            openConnections.remove(connection);
            connection.close();
        }
    }

    private String path(PendingPolls.Poll poll) {
        String query =
                switch (poll.request()) {
                    case COMPLETE -> "";
                    case CATCH_UP -> changesQuery(poll, CATCH_UP_WAIT);
                    case LONG_POLL -> changesQuery(poll, timings.longPollWait());
                };
        String parameters = source.queryParameters().get();
        if (parameters.isEmpty()) {
            return source.path() + query;
        }
        return source.path() + query + (query.isEmpty() ? "?" : "&") + parameters;
    }

    private static String changesQuery(PendingPolls.Poll poll, Duration wait) {
        return "?index=" + poll.version() + "&wait=" + wait.toMillis();
    }

    /** Returns a handler that reports to the watcher's thread while the poll is pending. */
    private PollConnection.ResponseHandler reportTo(PendingPolls.Poll poll) {
        return new PollConnection.ResponseHandler() {
            @Override
            public void onRequestSent() {
                report(() -> pendingPolls.onRequestSent(poll, now()));
            }

            @Override
            public void onFirstByte() {
                report(() -> pendingPolls.onFirstByte(poll, now()));
            }

            @Override
            public void onResponse(InputStream body) {
                report(() -> handleResponse(poll, body));
            }

            @Override
            public void onFailure(Throwable failure) {
                report(() -> handleFailure(poll, failure));
            }

            private void report(Runnable event) {
                events.add(
                        () -> {
                            abandon(pendingPolls.abandonIfSuspended(now()));
                            if (connections.containsKey(poll)) {
                                event.run();
                            }
                        });
            }
        };
    }

    // ---- responses

    private void handleResponse(PendingPolls.Poll poll, InputStream body) {
        long handlingStartNanos = System.nanoTime();
        long newVersion;
        try {
            T update = decode(body);
            newVersion = checkVersion(update, poll);
            if (!deliver(update)) {
                return;
            }
        } catch (IOException | RuntimeException | Error e) {
            handleFailure(poll, e);
            return;
        }
        pollListener.onResponse();
        log.onResponse(newVersion, pendingPolls.lateness(poll, now()), now());
        idleConnection = connections.remove(poll);
        Duration handlingTime = Duration.ofNanos(System.nanoTime() - handlingStartNanos);
        abandon(pendingPolls.onResponse(poll, newVersion, handlingTime, now()));
    }

    private T decode(InputStream body) throws IOException {
        try {
            return decoder.decode(body);
        } catch (IOException e) {
            throw new UnusableResponseException(String.valueOf(e.getMessage()), e);
        }
    }

    /**
     * Rejects changes with a version older than the one that the poll named, as they do not apply
     * to it. Any version of a complete document is accepted, except a negative one.
     */
    private long checkVersion(T update, PendingPolls.Poll poll) throws UnusableResponseException {
        long newVersion = versionOf.applyAsLong(update);
        long version = poll.version();
        if (newVersion < Math.max(0, version)) {
            throw new UnusableResponseException(
                    "version "
                            + newVersion
                            + (version < 0
                                    ? " is negative"
                                    : " is older than the current version " + version));
        }
        return newVersion;
    }

    /** Delivers an update; returns false if the watcher is stopped. */
    private synchronized boolean deliver(T update) {
        if (stopped) {
            return false;
        }
        onUpdate.accept(update);
        return true;
    }

    private void handleFailure(PendingPolls.Poll poll, Throwable failure) {
        PollPlan.Failure kind = classify(failure);
        closeConnection(poll);
        abandon(pendingPolls.onFailure(poll, kind, now()));
        log.onFailure(failure, kind == PollPlan.Failure.REJECTED);
        if (kind == PollPlan.Failure.REJECTED) {
            pollListener.onRejectedResponse(reason(failure));
        } else {
            pollListener.onNoResponse();
        }
    }

    /** An unchecked exception may have no message, or one that needs its type to be understood. */
    private static String reason(Throwable failure) {
        return failure instanceof IOException && failure.getMessage() != null
                ? failure.getMessage()
                : failure.toString();
    }

    private static PollPlan.Failure classify(Throwable failure) {
        if (failure instanceof ConnectException) {
            return PollPlan.Failure.CONNECTION_REFUSED;
        }
        boolean received =
                failure instanceof UnusableResponseException || !(failure instanceof IOException);
        return received ? PollPlan.Failure.REJECTED : PollPlan.Failure.NO_RESPONSE;
    }

    /** Stops polling and aborts pending requests. No update is delivered after the return. */
    public synchronized void stop() {
        stopped = true;
        openConnections.forEach(PollConnection::close);
        openConnections.clear();
        // Ends the wait of the watcher's thread.
        events.add(() -> {});
    }
}
