import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Answers of data nodes whose frame states a length that doesn't fit what follows. */
final class SpoiltLength {
    private static final int QUERIES = 300;
    private static final int CLIENTS = 6;
    private static final int SHARDS = 6;
    private static final int DEADLINE_MS = 6000;

    /** Share of the answers that are spoilt. */
    private static final double SPOILT = 0.05;

    private SpoiltLength() {}

    public static void main(String[] args) throws Exception {
        Rig.run(args[0], 41, SpoiltLength::course);
    }

    private static void course(Rig rig) throws Exception {
        AtomicInteger spoilt = new AtomicInteger();
        for (int i = 0; i < 3; i++) {
            Rig.Node node = rig.new Node("s-" + i, "a", 0, "127.0.0.1");
            if (rig.trouble) {
                node.answers =
                        (at, part, waiting) -> {
                            boolean now;
                            int less;
                            synchronized (rig.random) {
                                if (part.connection.spoilt) {
                                    return;
                                }
                                now = waiting > 0 && rig.random.nextDouble() < SPOILT;
                                less = 4 + rig.random.nextInt(12);
                            }
                            if (!now) {
                                at.answerWell(part, waiting);
                                return;
                            }
                            // The connection stays open and is of no more use.
                            part.connection.spoilt = true;
                            spoilt.incrementAndGet();
                            rig.note(
                                    at.name
                                            + " answers "
                                            + part.id
                                            + " with a length short by "
                                            + less
                                            + ", "
                                            + waiting
                                            + " more parts are waiting on the connection");
                            part.connection.write(
                                    Rig.frame(
                                            "q"
                                                    + part.id
                                                    + " good 0 -\n"
                                                    + Rig.valueOf(part.query, part.shard),
                                            -less));
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
                        "{\"name\":\"journey-lookup\",\"promise\":2000000,\"deadline\":6000000,"
                                + "\"effect\":\"retryable\",\"worth\":1.0,\"lateWorth\":0.1}",
                        "[1.0]",
                        "[1.0]"));
        router.start();
        router.awaitReady();
        List<String> wrong = new CopyOnWriteArrayList<>();
        Map<Integer, AtomicInteger> statuses = new java.util.concurrent.ConcurrentSkipListMap<>();
        List<Thread> threads = new ArrayList<>();
        AtomicInteger next = new AtomicInteger();
        for (int i = 0; i < CLIENTS; i++) {
            Thread thread =
                    Rig.daemon(
                            () -> {
                                for (int n = next.getAndIncrement();
                                        n < QUERIES;
                                        n = next.getAndIncrement()) {
                                    ask(rig, router, "q" + n, statuses, wrong);
                                }
                            });
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        int good = statuses.getOrDefault(200, new AtomicInteger()).get();
        String counts = "answers by status " + statuses + ", " + spoilt + " spoilt";
        if (good < QUERIES / 2 || rig.trouble && spoilt.get() == 0) {
            rig.finish(2, "the case could not run: " + counts);
        }
        rig.finish(
                wrong.isEmpty() ? 0 : 1,
                wrong.size() + " answers of status 200 had a value that no data node made; " + counts);
    }

    private static void ask(
            Rig rig,
            Rig.Router router,
            String id,
            Map<Integer, AtomicInteger> statuses,
            List<String> wrong) {
        try (Rig.Client client = new Rig.Client(router.port)) {
            List<Integer> shards = List.of(0, 1, 2, 3, 4, 5);
            client.send(Rig.query("journey-lookup", id, "kartli-rail", DEADLINE_MS, shards));
            rig.note("client asks " + id);
            Rig.Reply reply = client.read(DEADLINE_MS + 1000);
            rig.note("client has for " + id + ": " + reply.status() + " " + reply.body());
            statuses.computeIfAbsent(reply.status(), status -> new AtomicInteger()).incrementAndGet();
            if (reply.status() == 200) {
                for (Map.Entry<Integer, String> value : Rig.values(reply.body()).entrySet()) {
                    String made = Rig.valueOf(id, value.getKey());
                    if (!made.equals(value.getValue())) {
                        rig.note(
                                "WRONG: "
                                        + id
                                        + " range "
                                        + value.getKey()
                                        + " has "
                                        + value.getValue()
                                        + ", the data nodes made "
                                        + made);
                        wrong.add(id);
                        break;
                    }
                }
            }
        } catch (java.io.IOException e) {
            rig.note("client failed with " + id + ": " + e);
        }
    }
}
