package postbeam.discovery;

import java.io.IOException;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import postbeam.roster.DiscoveryPacing;

/**
 * Follows something that has versions over HTTP, on a thread of its own, so that nothing stands
 * before what is told: asks for the whole of it, then waits for what is newer, and asks for the
 * whole again after every failure.
 */
public final class LongPoll<T> implements Runnable {
    private static final System.Logger LOG = System.getLogger(LongPoll.class.getName());

    /** Decodes a body; an IOException says what can't be used. */
    public interface Reading<T> {
        T read(byte[] body) throws IOException;
    }

    /**
     * What is followed: its name in the log, where it is, the most bytes that it may tell, and what
     * is said with each question.
     */
    public record Source(
            String name, String address, String path, int longest, Supplier<String> says) {
        public Source(String name, String address, String path, int longest) {
            this(name, address, path, longest, () -> "");
        }
    }

    private final Source source;
    private final HttpGet http;
    private final Reading<T> reading;
    private final ToLongFunction<T> version;
    private final Consumer<T> told;
    private final DiscoveryPacing.Pace pace;
    private final Runnable followed;
    private volatile boolean stopped;
    private int failures;

    public LongPoll(
            Source source,
            Reading<T> reading,
            ToLongFunction<T> version,
            Consumer<T> told,
            DiscoveryPacing.Pace pace) {
        this(source, reading, version, told, pace, () -> {});
    }

    /** The last is run after each call, whether it told or failed. */
    public LongPoll(
            Source source,
            Reading<T> reading,
            ToLongFunction<T> version,
            Consumer<T> told,
            DiscoveryPacing.Pace pace,
            Runnable followed) {
        this.followed = followed;
        this.source = source;
        this.http = new HttpGet(source.address());
        this.reading = reading;
        this.version = version;
        this.told = told;
        this.pace = pace;
    }

    @Override
    public void run() {
        long last = -1;
        while (!stopped) {
            try {
                long asked = System.nanoTime();
                T next = last < 0 ? whole() : newer(last);
                long is = version.applyAsLong(next);
                if (is < Math.max(0, last)) {
                    // Changes of something else than what is held; a whole list is taken as it is.
                    throw new IOException("version " + is + (last < 0 ? "" : " after " + last));
                }
                synchronized (this) {
                    if (stopped) {
                        return;
                    }
                    told.accept(next);
                }
                followed.run();
                // A watch that is answered with nothing new before its wait is over would be asked
                // without end.
                boolean idle = is == last && System.nanoTime() - asked < pace.hold().toNanos() / 2;
                last = is;
                if (failures > 0) {
                    LOG.log(
                            System.Logger.Level.INFO,
                            "{0} answers again, version {1}",
                            source.name(),
                            last);
                }
                failures = 0;
                if (idle) {
                    pause(1);
                }
            } catch (IOException | RuntimeException | Error e) {
                if (stopped) {
                    return;
                }
                if (failures++ == 0) {
                    LOG.log(
                            System.Logger.Level.WARNING,
                            "{0} at {1}: {2}; what is held stays",
                            source.name(),
                            source.address(),
                            e.toString());
                }
                followed.run();
                // The whole again: what a half answer would have told is not lost.
                last = -1;
                pause(failures);
            }
        }
    }

    private void pause(int after) {
        try {
            Thread.sleep(pace.pause().apply(after).toMillis());
        } catch (InterruptedException e) {
            stopped = true;
        }
    }

    private T whole() throws IOException {
        Duration begin = pace.begin().apply(failures);
        return ask("", new HttpGet.Limits(begin, begin, pace.answer(), pace.answer()));
    }

    private T newer(long last) throws IOException {
        Duration waited = pace.hold().plus(pace.over());
        return ask(
                "?index=" + last + "&wait=" + pace.hold().toMillis(),
                new HttpGet.Limits(pace.begin().apply(failures), waited, pace.answer(), waited));
    }

    private T ask(String query, HttpGet.Limits limits) throws IOException {
        String says = source.says().get();
        String asked =
                source.path()
                        + query
                        + (says.isEmpty() ? "" : (query.isEmpty() ? "?" : "&") + says);
        return reading.read(http.get(asked, source.longest(), limits));
    }

    /** Once it returns nothing more is told; a call that waits is broken off. */
    public void stop() {
        synchronized (this) {
            stopped = true;
        }
        http.close();
    }
}
