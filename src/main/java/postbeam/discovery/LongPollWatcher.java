package postbeam.discovery;

import java.io.IOException;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import postbeam.endpoints.PollSchedule;

/**
 * Follows something that has versions over HTTP, on a thread of its own, so that nothing stands
 * before what is told: asks for the whole of it, then waits for what is newer, and asks for the
 * whole again after every failure.
 */
public final class LongPollWatcher<T> implements Runnable {
    private static final System.Logger LOG = System.getLogger(LongPollWatcher.class.getName());

    /** Decodes a body; an IOException says what can't be used. */
    public interface Decoder<T> {
        T decode(byte[] body) throws IOException;
    }

    /**
     * What is followed: its name in the log, where it is, the most bytes that it may tell, and what
     * is said with each question.
     */
    public record Source(
            String name,
            String address,
            String path,
            int maxBytes,
            Supplier<String> queryParameters) {
        public Source(String name, String address, String path, int longest) {
            this(name, address, path, longest, () -> "");
        }
    }

    private final Source source;
    private final HttpGetClient http;
    private final Decoder<T> decoder;
    private final ToLongFunction<T> version;
    private final Consumer<T> onUpdate;
    private final PollSchedule.PollTimings timings;
    private final Runnable onPollDone;
    private volatile boolean stopped;
    private int consecutiveFailures;

    public LongPollWatcher(
            Source source,
            Decoder<T> reading,
            ToLongFunction<T> version,
            Consumer<T> told,
            PollSchedule.PollTimings pace) {
        this(source, reading, version, told, pace, () -> {});
    }

    /** The last is run after each call, whether it told or failed. */
    public LongPollWatcher(
            Source source,
            Decoder<T> reading,
            ToLongFunction<T> version,
            Consumer<T> told,
            PollSchedule.PollTimings pace,
            Runnable followed) {
        this.onPollDone = followed;
        this.source = source;
        this.http = new HttpGetClient(source.address());
        this.decoder = reading;
        this.version = version;
        this.onUpdate = told;
        this.timings = pace;
    }

    @Override
    public void run() {
        long last = -1;
        while (!stopped) {
            try {
                long asked = System.nanoTime();
                T next = last < 0 ? fetchAll() : fetchChanges(last);
                long is = version.applyAsLong(next);
                if (is < Math.max(0, last)) {
                    // Changes of something else than what is held; a whole list is taken as it is.
                    throw new IOException("version " + is + (last < 0 ? "" : " after " + last));
                }
                synchronized (this) {
                    if (stopped) {
                        return;
                    }
                    onUpdate.accept(next);
                }
                onPollDone.run();
                // A watch that is answered with nothing new before its wait is over would be asked
                // without end.
                boolean idle =
                        is == last
                                && System.nanoTime() - asked < timings.longPollWait().toNanos() / 2;
                last = is;
                if (consecutiveFailures > 0) {
                    LOG.log(
                            System.Logger.Level.INFO,
                            "{0} answers again, version {1}",
                            source.name(),
                            last);
                }
                consecutiveFailures = 0;
                if (idle) {
                    backOff(1);
                }
            } catch (IOException | RuntimeException | Error e) {
                if (stopped) {
                    return;
                }
                if (consecutiveFailures++ == 0) {
                    LOG.log(
                            System.Logger.Level.WARNING,
                            "{0} at {1}: {2}; what is held stays",
                            source.name(),
                            source.address(),
                            e.toString());
                }
                onPollDone.run();
                // The whole again: what a half answer would have told is not lost.
                last = -1;
                backOff(consecutiveFailures);
            }
        }
    }

    private void backOff(int after) {
        try {
            Thread.sleep(timings.backoff().apply(after).toMillis());
        } catch (InterruptedException e) {
            stopped = true;
        }
    }

    private T fetchAll() throws IOException {
        Duration begin = timings.firstByteTimeout().apply(consecutiveFailures);
        return fetch(
                "",
                new HttpGetClient.Timeouts(
                        begin, begin, timings.responseTimeout(), timings.responseTimeout()));
    }

    private T fetchChanges(long last) throws IOException {
        Duration waited = timings.longPollWait().plus(timings.longPollGrace());
        return fetch(
                "?index=" + last + "&wait=" + timings.longPollWait().toMillis(),
                new HttpGetClient.Timeouts(
                        timings.firstByteTimeout().apply(consecutiveFailures),
                        waited,
                        timings.responseTimeout(),
                        waited));
    }

    private T fetch(String query, HttpGetClient.Timeouts limits) throws IOException {
        String says = source.queryParameters().get();
        String asked =
                source.path()
                        + query
                        + (says.isEmpty() ? "" : (query.isEmpty() ? "?" : "&") + says);
        return decoder.decode(http.get(asked, source.maxBytes(), limits));
    }

    /** Once it returns nothing more is told; a call that waits is broken off. */
    public void stop() {
        synchronized (this) {
            stopped = true;
        }
        http.close();
    }
}
