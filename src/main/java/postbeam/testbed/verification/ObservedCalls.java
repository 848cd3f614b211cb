package postbeam.testbed.verification;

import java.io.Closeable;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import postbeam.slices.KeyRange;

/**
 * What clients here and nodes in processes of their own saw, told to a referee in the order of its
 * times. Times are spans on the machine's one monotonic clock, which all processes read; each is
 * taken before what it leads to.
 */
public final class ObservedCalls implements RunObserver.ClientObserver {
    private static final String SUFFIX = ".seen";

    private record Event(Duration at, Consumer<InvariantChecker> what) {}

    private final List<Event> events = new ArrayList<>();

    /** Adds an observation at this time, to be passed on in the order of times. */
    public synchronized void add(Duration at, Consumer<InvariantChecker> what) {
        events.add(new Event(at, what));
    }

    @Override
    public void querySent(
            Duration now,
            String id,
            String router,
            InvariantChecker.Kind kind,
            double need,
            double floor,
            long version,
            List<InvariantChecker.RequestedSlice> wanted,
            Duration until) {
        add(now, to -> to.querySent(now, id, router, kind, need, floor, version, wanted, until));
    }

    @Override
    public void rejected(Duration now, String query) {
        add(now, to -> to.rejected(now, query));
    }

    @Override
    public void failed(Duration now, String query) {
        add(now, to -> to.failed(now, query));
    }

    @Override
    public void unanswered(Duration now, String query, String seen) {
        add(now, to -> to.unanswered(now, query, seen));
    }

    @Override
    public void answered(
            Duration now,
            String query,
            boolean whole,
            long counted,
            List<InvariantChecker.Value> values) {
        add(now, to -> to.answered(now, query, whole, counted, values));
    }

    /**
     * Tells a referee all of it, with what nodes wrote in this folder; nothing may be added any
     * more.
     */
    public synchronized void tell(InvariantChecker checker, Path folder, Duration end)
            throws IOException {
        List<Event> all = new ArrayList<>(events);
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file :
                    files.filter(one -> one.toString().endsWith(SUFFIX)).sorted().toList()) {
                String text = Files.readString(file);
                // A process that was killed may have left half a line.
                text.substring(0, text.lastIndexOf('\n') + 1)
                        .lines()
                        .forEach(line -> all.add(event(line.split(" "))));
            }
        }
        all.sort(Comparator.comparing(Event::at));
        all.forEach(event -> event.what.accept(checker));
        checker.end(end);
    }

    /** Calls to a node since it last started cold. */
    public long calls(Path folder, String node) throws IOException {
        String text = Files.readString(folder.resolve(node + SUFFIX));
        return text.substring(Math.max(0, text.lastIndexOf("started ")))
                .lines()
                .filter(line -> line.startsWith("called "))
                .count();
    }

    private static Event event(String[] words) {
        Duration at = Duration.ofNanos(Long.parseLong(words[1]));
        return new Event(
                at,
                switch (words[0]) {
                    case "started" -> to -> to.nodeStarted(at, words[2]);
                    case "called" ->
                            to ->
                                    to.called(
                                            at,
                                            words[2],
                                            words[3],
                                            words[4],
                                            keys(words, 5),
                                            Long.parseLong(words[7]),
                                            Duration.ofNanos(Long.parseLong(words[8])));
                    case "ran" -> to -> to.ran(at, words[2], words[3], keys(words, 4));
                    case "over" -> to -> to.callEnded(words[2], words[3]);
                    default ->
                            throw new IllegalArgumentException(
                                    "not what a node writes: " + words[0]);
                });
    }

    private static KeyRange keys(String[] words, int at) {
        return new KeyRange(Long.parseLong(words[at]), Long.parseLong(words[at + 1]));
    }

    /**
     * A node's side: a line an event, in the file once it is written, whatever becomes of the
     * process.
     */
    public static final class Node implements RunObserver.NodeObserver, Closeable {
        private final OutputStream out;
        private final long startNanos;

        /** The start of the run is told by whoever started it. */
        public Node(Path folder, String name, long startNanos) throws IOException {
            out = new FileOutputStream(folder.resolve(name + SUFFIX).toFile(), true);
            this.startNanos = startNanos;
        }

        /** The time since the start of the run. */
        public Duration now() {
            return Duration.ofNanos(System.nanoTime() - startNanos);
        }

        private synchronized void write(String event, Duration at, Object... words) {
            StringBuilder line = new StringBuilder(event).append(' ').append(at.toNanos());
            for (Object word : words) {
                line.append(' ').append(word);
            }
            try {
                out.write(line.append('\n').toString().getBytes(StandardCharsets.UTF_8));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public void nodeStarted(Duration now, String node) {
            write("started", now, node);
        }

        @Override
        public void called(
                Duration now,
                String node,
                String query,
                String part,
                KeyRange keys,
                long version,
                Duration work) {
            write(
                    "called",
                    now,
                    node,
                    query,
                    part,
                    keys.from(),
                    keys.to(),
                    version,
                    work.toNanos());
        }

        @Override
        public void ran(Duration now, String query, String part, KeyRange keys) {
            write("ran", now, query, part, keys.from(), keys.to());
        }

        @Override
        public void callEnded(String query, String part) {
            write("over", now(), query, part);
        }

        @Override
        public void close() throws IOException {
            out.close();
        }
    }
}
