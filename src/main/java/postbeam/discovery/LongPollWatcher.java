package postbeam.discovery;

import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import postbeam.endpoints.PollTimings;

/**
 * Watches a versioned document over HTTP by long polling. It fetches the complete document, then
 * changes, and the complete document again after every failure. It runs on a thread of its own,
 * which the owner starts; only {@link #stop} may be called on another thread. The watcher's lock
 * ensures that no update is delivered after a stop.
 *
 * @param <T> type of an update: a complete document or changes of it
 */
public final class LongPollWatcher<T> implements Runnable {
    private static final System.Logger LOG = System.getLogger(LongPollWatcher.class.getName());

    private static final long NO_VERSION = -1;

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
     * @param queryParameters supplies further parameters of each request as name=value, or an empty
     *     string
     */
    public record Source(
            String name,
            String address,
            String path,
            int maxBytes,
            Supplier<String> queryParameters) {
        /** Creates a source whose requests have no further parameters. */
        public Source(String name, String address, String path, int maxBytes) {
            this(name, address, path, maxBytes, () -> "");
        }
    }

    private final Source source;
    private final HttpGetClient http;
    private final Decoder<T> decoder;
    private final ToLongFunction<T> versionOf;
    private final Consumer<T> onUpdate;
    private final PollTimings timings;
    private final Runnable onPollDone;

    /** Set by {@link #stop} under the lock, or when the polling thread is interrupted. */
    private volatile boolean stopped;

    private long version = NO_VERSION;
    private int consecutiveFailures;

    /** Creates a watcher that runs no action after a poll. */
    public LongPollWatcher(
            Source source,
            Decoder<T> decoder,
            ToLongFunction<T> versionOf,
            Consumer<T> onUpdate,
            PollTimings timings) {
        this(source, decoder, versionOf, onUpdate, timings, () -> {});
    }

    /**
     * Creates a watcher; {@link #run} starts to poll.
     *
     * @param source the document to watch
     * @param decoder decodes the response bodies
     * @param versionOf returns the version that an update states
     * @param onUpdate receives each update, changed or not; called under the watcher's lock
     * @param timings request timeouts and the pauses between requests
     * @param onPollDone run after each poll, whether it succeeded or failed
     */
    public LongPollWatcher(
            Source source,
            Decoder<T> decoder,
            ToLongFunction<T> versionOf,
            Consumer<T> onUpdate,
            PollTimings timings,
            Runnable onPollDone) {
        this.source = source;
        this.http = new HttpGetClient(source.address());
        this.decoder = decoder;
        this.versionOf = versionOf;
        this.onUpdate = onUpdate;
        this.timings = timings;
        this.onPollDone = onPollDone;
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
        T update = version < 0 ? fetchAll() : fetchChanges();
        long newVersion = checkVersion(update);
        if (!deliver(update)) {
            return;
        }
        onPollDone.run();
        // Backs off so that a server that responds at once without changes is not polled in a loop.
        boolean unchanged = newVersion == version;
        boolean early = System.nanoTime() - startNanos < timings.longPollWait().toNanos() / 2;
        version = newVersion;
        if (consecutiveFailures > 0) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "{0} answers again, version {1}",
                    source.name(),
                    version);
        }
        consecutiveFailures = 0;
        if (unchanged && early) {
            backOff(1);
        }
    }

    /**
     * Rejects changes with a version older than the current one, as they do not apply to it. Any
     * version of a complete document is accepted, except a negative one.
     */
    private long checkVersion(T update) throws IOException {
        long newVersion = versionOf.applyAsLong(update);
        if (newVersion < Math.max(0, version)) {
            throw new IOException(
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
        if (consecutiveFailures++ == 0) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "{0} at {1}: {2}; what is held stays",
                    source.name(),
                    source.address(),
                    failure.toString());
        }
        onPollDone.run();
        // Fetches the complete document next, as the failed response may have held changes.
        version = NO_VERSION;
        backOff(consecutiveFailures);
    }

    private void backOff(int failures) {
        try {
            Thread.sleep(timings.backoff().apply(failures).toMillis());
        } catch (InterruptedException e) {
            stopped = true;
        }
    }

    private T fetchAll() throws IOException {
        Duration firstByte = timings.firstByteTimeout().apply(consecutiveFailures);
        Duration response = timings.responseTimeout();
        return fetch("", new HttpGetClient.Timeouts(firstByte, firstByte, response, response));
    }

    private T fetchChanges() throws IOException {
        Duration connect = timings.firstByteTimeout().apply(consecutiveFailures);
        Duration wait = timings.longPollWait().plus(timings.longPollGrace());
        return fetch(
                "?index=" + version + "&wait=" + timings.longPollWait().toMillis(),
                new HttpGetClient.Timeouts(connect, wait, timings.responseTimeout(), wait));
    }

    private T fetch(String query, HttpGetClient.Timeouts timeouts) throws IOException {
        String parameters = source.queryParameters().get();
        String path = source.path() + query;
        if (!parameters.isEmpty()) {
            path += (query.isEmpty() ? "?" : "&") + parameters;
        }
        return decoder.decode(http.get(path, source.maxBytes(), timeouts));
    }

    /** Stops polling and aborts a pending request. No update is delivered after the return. */
    public void stop() {
        synchronized (this) {
            stopped = true;
        }
        http.close();
    }
}
