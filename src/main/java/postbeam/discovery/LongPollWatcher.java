package postbeam.discovery;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import postbeam.endpoints.PollPlan;
import postbeam.endpoints.PollTimings;

/**
 * Watches a versioned document over HTTP by long polling. It fetches the complete document, then
 * changes; {@link PollPlan} decides what it fetches after a failure. It runs on a thread of its
 * own, which the owner starts; only {@link #stop} may be called on another thread. The watcher's
 * lock ensures that no update is delivered after a stop.
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

    private final Source source;
    private final HttpGetClient http;
    private final Decoder<T> decoder;
    private final ToLongFunction<T> versionOf;
    private final Consumer<T> onUpdate;
    private final PollTimings timings;
    private final PollListener pollListener;

    /** Set by {@link #stop} under the lock, or when the polling thread is interrupted. */
    private volatile boolean stopped;

    private final PollPlan plan;

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
        this.http = new HttpGetClient(source.address());
        this.decoder = decoder;
        this.versionOf = versionOf;
        this.onUpdate = onUpdate;
        this.timings = timings;
        this.pollListener = pollListener;
        this.plan = new PollPlan(source.sendsChanges());
    }

    /** Polls until {@link #stop} is called or the thread is interrupted in a pause. */
    @Override
    public void run() {
        while (!stopped) {
            try {
                poll();
            } catch (IOException | RuntimeException | Error e) {
                if (stopped) {
                    return;
                }
                handleFailure(e);
            }
        }
    }

    private void poll() throws IOException {
        long startNanos = System.nanoTime();
        PollPlan.Request request = plan.next();
        long oldVersion = plan.version();
        T update = fetch(request);
        long newVersion = checkVersion(update);
        if (!deliver(update)) {
            return;
        }
        pollListener.onResponse();
        if (plan.consecutiveFailures() > 0) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "{0} answers again, version {1}",
                    source.name(),
                    newVersion);
        }
        plan.onUpdate(newVersion);
        // Backs off so that a server that responds at once without changes is not polled in a loop.
        boolean early = System.nanoTime() - startNanos < timings.longPollWait().toNanos() / 2;
        if (request == PollPlan.Request.LONG_POLL && newVersion == oldVersion && early) {
            pause(timings.pauseAfterFailure(1, 0));
        }
    }

    /**
     * Rejects changes with a version older than the current one, as they do not apply to it. Any
     * version of a complete document is accepted, except a negative one.
     */
    private long checkVersion(T update) throws UnusableResponseException {
        long newVersion = versionOf.applyAsLong(update);
        long version = plan.version();
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

    private void handleFailure(Throwable failure) {
        PollPlan.Failure kind = classify(failure);
        plan.onFailure(kind);
        boolean firstRejection = kind == PollPlan.Failure.REJECTED && plan.rejections() == 1;
        if (plan.consecutiveFailures() == 1 || firstRejection) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "{0} at {1}: {2}; what is held stays",
                    source.name(),
                    source.address(),
                    failure.toString());
        }
        if (kind == PollPlan.Failure.REJECTED) {
            pollListener.onRejectedResponse(String.valueOf(failure.getMessage()));
        } else {
            pollListener.onNoResponse();
        }
        pause(timings.pauseAfterFailure(plan.consecutiveFailures(), plan.rejections()));
    }

    private static PollPlan.Failure classify(Throwable failure) {
        if (failure instanceof ConnectException) {
            return PollPlan.Failure.CONNECTION_REFUSED;
        }
        boolean received =
                failure instanceof UnusableResponseException || !(failure instanceof IOException);
        return received ? PollPlan.Failure.REJECTED : PollPlan.Failure.NO_RESPONSE;
    }

    private void pause(Duration duration) {
        try {
            Thread.sleep(duration.toMillis());
        } catch (InterruptedException e) {
            stopped = true;
        }
    }

    private T fetch(PollPlan.Request request) throws IOException {
        return switch (request) {
            case COMPLETE -> fetchNow("");
            case CATCH_UP -> fetchNow(changesQuery(CATCH_UP_WAIT));
            case LONG_POLL -> awaitChanges();
        };
    }

    private T fetchNow(String query) throws IOException {
        Duration firstByte = timings.firstByteTimeout().apply(plan.consecutiveFailures());
        Duration response = timings.responseTimeout();
        return fetch(query, new HttpGetClient.Timeouts(firstByte, firstByte, response, response));
    }

    private T awaitChanges() throws IOException {
        Duration connect = timings.firstByteTimeout().apply(plan.consecutiveFailures());
        Duration wait = timings.longPollWait().plus(timings.longPollGrace());
        return fetch(
                changesQuery(timings.longPollWait()),
                new HttpGetClient.Timeouts(connect, wait, timings.responseTimeout(), wait));
    }

    private String changesQuery(Duration wait) {
        return "?index=" + plan.version() + "&wait=" + wait.toMillis();
    }

    private T fetch(String query, HttpGetClient.Timeouts timeouts) throws IOException {
        String parameters = source.queryParameters().get();
        String path = source.path() + query;
        if (!parameters.isEmpty()) {
            path += (query.isEmpty() ? "?" : "&") + parameters;
        }
        InputStream body = http.get(path, source.maxBytes(), timeouts);
        try {
            return decoder.decode(body);
        } catch (IOException e) {
            throw new UnusableResponseException(String.valueOf(e.getMessage()), e);
        }
    }

    /** Stops polling and aborts a pending request. No update is delivered after the return. */
    public void stop() {
        synchronized (this) {
            stopped = true;
        }
        http.close();
    }
}
