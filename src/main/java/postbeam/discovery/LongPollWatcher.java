package postbeam.discovery;

import java.io.IOException;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import postbeam.endpoints.PollTimings;

/**
 * Watches a versioned document over HTTP by long polls: fetches all of it, then what is newer, and
 * all of it again after every failure. Runs on a thread of its own, which its owner starts; only
 * {@link #stop} may be called on another. Its lock keeps an update and a stop apart, so that none
 * is delivered after a stop.
 *
 * @param <T> a document, or changes of one
 */
public final class LongPollWatcher<T> implements Runnable {
    private static final System.Logger LOG = System.getLogger(LongPollWatcher.class.getName());

    private static final long NO_VERSION = -1;

    /**
     * Decodes a response's body.
     *
     * @param <T> what it decodes to
     */
    public interface Decoder<T> {
        /**
         * Decodes a body.
         *
         * @throws IOException if it can't be used; the message says why
         */
        T decode(byte[] body) throws IOException;
    }

    /**
     * What is watched.
     *
     * @param name in the log
     * @param address HOST:PORT
     * @param path of the document
     * @param maxBytes that a response's body may have
     * @param queryParameters further ones for the next request, name=value, or an empty string
     */
    public record Source(
            String name,
            String address,
            String path,
            int maxBytes,
            Supplier<String> queryParameters) {
        /** A source whose requests have no further parameters. */
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

    /** Set under the lock by a stop, or by an interrupt of the polling thread. */
    private volatile boolean stopped;

    private long version = NO_VERSION;
    private int consecutiveFailures;

    /** A watcher that runs nothing after a poll. */
    public LongPollWatcher(
            Source source,
            Decoder<T> decoder,
            ToLongFunction<T> versionOf,
            Consumer<T> onUpdate,
            PollTimings timings) {
        this(source, decoder, versionOf, onUpdate, timings, () -> {});
    }

    /**
     * A watcher that polls once it is run.
     *
     * @param versionOf the version that a response states
     * @param onUpdate takes each response, changed or not, under the watcher's lock
     * @param timings how long requests may take, and the pauses between them
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

    /** Polls until it is stopped. */
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
        // A server that answers at once with nothing new would be polled without end.
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
     * Changes to something else than what is held are refused; a complete document is taken as it
     * is.
     */
    private long checkVersion(T update) throws IOException {
        long newVersion = versionOf.applyAsLong(update);
        if (newVersion < Math.max(0, version)) {
            throw new IOException(
                    "version " + newVersion + (version < 0 ? "" : " after " + version));
        }
        return newVersion;
    }

    /** False if it has been stopped. */
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
        // All of it again, so that what half a response would have brought is not lost.
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

    /** Once it returns no update is delivered any more; a request that waits is broken off. */
    public void stop() {
        synchronized (this) {
            stopped = true;
        }
        http.close();
    }
}
