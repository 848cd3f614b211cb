package postbeam.discovery;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.Proxy;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

/**
 * Follows something that has versions over HTTP, on a thread of its own, so that nothing stands before what is told:
 * asks for the whole of it, then waits for what is newer, and asks for the whole again after every failure.
 */
public final class LongPoll<T> implements Runnable {
    private static final System.Logger LOG = System.getLogger(LongPoll.class.getName());
    /** How long a watch may wait: as in the protocol's example; what comes is told at once all the same. */
    private static final Duration WAIT = Duration.ofSeconds(20);
    /** How much longer than it may take an answer is waited for: by then it counts as told. */
    private static final Duration SLACK = Duration.ofSeconds(2);
    /** Between a failed call and the next, where the source costs nothing to ask: soon enough for a watch to go on. */
    public static final IntFunction<Duration> SOON = failures -> Duration.ofMillis(100);

    /** Decodes a body; an IOException says what can't be used. */
    public interface Reading<T> {
        T read(byte[] body) throws IOException;
    }

    /** What is followed: its name in the log, where it is, the most bytes that it may tell, and headers to ask with. */
    public record Source(String name, String address, String path, int longest, Supplier<Map<String, String>> says) {
        public Source(String name, String address, String path, int longest) {
            this(name, address, path, longest, Map::of);
        }
    }

    private final Source source;
    private final Reading<T> reading;
    private final ToLongFunction<T> version;
    private final Consumer<T> told;
    /** How long to wait after so many failures in a row. */
    private final IntFunction<Duration> pause;
    private volatile boolean stopped;
    private volatile HttpURLConnection call;
    private int failures;

    public LongPoll(Source source, Reading<T> reading, ToLongFunction<T> version, Consumer<T> told,
            IntFunction<Duration> pause) {
        this.source = source;
        this.reading = reading;
        this.version = version;
        this.told = told;
        this.pause = pause;
    }

    @Override
    public void run() {
        long last = -1;
        while (!stopped) {
            try {
                T next = last < 0 ? ask("", SLACK)
                        : ask("?index=" + last + "&wait=" + WAIT.toMillis(), WAIT.plus(SLACK));
                synchronized (this) {
                    if (stopped) {
                        return;
                    }
                    told.accept(next);
                }
                last = version.applyAsLong(next);
                if (failures > 0) {
                    LOG.log(System.Logger.Level.INFO, "{0} answers again, version {1}", source.name(), last);
                }
                failures = 0;
            } catch (IOException | RuntimeException | Error e) {
                if (stopped) {
                    return;
                }
                if (failures++ == 0) {
                    LOG.log(System.Logger.Level.WARNING, "{0} at {1}: {2}; what is held stays", source.name(),
                            source.address(), e.toString());
                }
                // The whole again: what a half answer would have told is not lost.
                last = -1;
                pause();
            }
        }
    }

    private void pause() {
        try {
            Thread.sleep(pause.apply(failures).toMillis());
        } catch (InterruptedException e) {
            stopped = true;
        }
    }

    private T ask(String query, Duration within) throws IOException {
        call = (HttpURLConnection) URI.create("http://" + source.address() + source.path() + query).toURL()
                .openConnection(Proxy.NO_PROXY);
        call.setConnectTimeout((int) SLACK.toMillis());
        call.setReadTimeout((int) within.toMillis());
        source.says().get().forEach(call::setRequestProperty);
        int status = call.getResponseCode();
        if (status != HttpURLConnection.HTTP_OK) {
            call.disconnect();
            throw new IOException("status " + status);
        }
        try (InputStream body = call.getInputStream()) {
            byte[] bytes = body.readNBytes(source.longest() + 1);
            if (bytes.length > source.longest()) {
                call.disconnect();
                throw new IOException("an answer of over " + source.longest() + " bytes");
            }
            return reading.read(bytes);
        }
    }

    /** Once it returns nothing more is told; a call that waits is broken off. */
    public void stop() {
        synchronized (this) {
            stopped = true;
        }
        HttpURLConnection waiting = call;
        if (waiting != null) {
            waiting.disconnect();
        }
    }
}
