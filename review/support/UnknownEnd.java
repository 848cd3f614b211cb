import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Spoilt answers of data nodes with an end that the protocol's page does not have. */
final class UnknownEnd {
    private static final int QUERIES = 240;
    private static final int CLIENTS = 4;
    private static final int SHARDS = 6;
    private static final int DEADLINE_MS = 6000;

    /** Share of the answers that are spoilt. */
    private static final double SPOILT = 0.1;

    /** Words that are none of good, bad and later. */
    private static final List<String> ENDS =
            List.of("done", "gone", "moved", "busy", "none", "error", "stale", "gooo");

    private UnknownEnd() {}

    public static void main(String[] args) throws Exception {
        Rig.run(args[0], 43, UnknownEnd::course);
    }

    private static void course(Rig rig) throws Exception {
        Map<String, AtomicInteger> spoilt = new ConcurrentSkipListMap<>();
        Map<String, String> endOf = new java.util.concurrent.ConcurrentHashMap<>();
        for (int i = 0; i < 3; i++) {
            Rig.Node node = rig.new Node("s-" + i, "a", 0, "127.0.0.1");
            if (rig.trouble) {
                node.answers =
                        (at, part, waiting) -> {
                            String end = null;
                            synchronized (rig.random) {
                                if (part.connection.spoilt) {
                                    return;
                                }
                                if (rig.random.nextDouble() < SPOILT) {
                                    end = ENDS.get(rig.random.nextInt(ENDS.size()));
                                }
                            }
                            if (end == null) {
                                at.answerWell(part, waiting);
                                return;
                            }
                            // The connection stays open and is of no more use.
                            part.connection.spoilt = true;
                            spoilt.computeIfAbsent(end, word -> new AtomicInteger())
                                    .incrementAndGet();
                            endOf.put(part.id, end);
                            rig.note(at.name + " has run " + part.id + " and answers " + end);
                            part.connection.write(Rig.frame("q" + part.id + " " + end + " 0 -\n", 0));
                        };
            }
        }
        Rig.Discovery discovery = rig.new Discovery();
        Rig.Router router = rig.new Router("n0");
        router.configure(
                discovery.address(),
                discovery.list(),
                Rig.LIMITS,
                Rig.settings(
                        1,
                        1,
                        SHARDS,
                        "{\"name\":\"seat-hold\",\"promise\":2000000,\"deadline\":6000000,"
                                + "\"effect\":\"fragile\",\"worth\":1.0,\"lateWorth\":0.1}",
                        "[1.0]",
                        "[1.0]"));
        router.start();
        router.awaitReady();
        Map<Integer, AtomicInteger> statuses = new ConcurrentSkipListMap<>();
        List<Thread> threads = new ArrayList<>();
        AtomicInteger next = new AtomicInteger();
        for (int i = 0; i < CLIENTS; i++) {
            Thread thread =
                    Rig.daemon(
                            () -> {
                                for (int n = next.getAndIncrement();
                                        n < QUERIES;
                                        n = next.getAndIncrement()) {
                                    hold(rig, router, n, statuses);
                                }
                            });
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        Thread.sleep(500);
        List<String> twice = new CopyOnWriteArrayList<>();
        rig.runs.forEach(
                (part, runs) -> {
                    if (runs.size() > 1) {
                        twice.add(part);
                        rig.note(
                                "TWICE: "
                                        + part
                                        + " ran at "
                                        + runs
                                        + "; last spoilt answer: "
                                        + endOf.get(part));
                    }
                });
        String counts = "answers by status " + statuses + "; spoilt answers by end " + spoilt;
        if (rig.runs.size() < QUERIES / 2) {
            rig.finish(2, "the case could not run: " + counts);
        }
        rig.finish(
                twice.isEmpty() ? 0 : 1,
                twice.size() + " parts of seat-hold ran more than once; " + counts);
    }

    private static void hold(
            Rig rig, Rig.Router router, int n, Map<Integer, AtomicInteger> statuses) {
        try (Rig.Client client = new Rig.Client(router.port)) {
            client.send(
                    Rig.query(
                            "seat-hold",
                            "h" + n,
                            "kartli-rail",
                            DEADLINE_MS,
                            n % 2 == 0
                                    ? List.of(n % SHARDS)
                                    : List.of(n % SHARDS, (n + 1) % SHARDS)));
            rig.note("client asks h" + n);
            Rig.Reply reply = client.read(DEADLINE_MS + 1000);
            rig.note("client has for h" + n + ": " + reply.status() + " " + reply.body());
            statuses.computeIfAbsent(reply.status(), status -> new AtomicInteger())
                    .incrementAndGet();
        } catch (IOException e) {
            rig.note("client failed with h" + n + ": " + e);
        }
    }
}
