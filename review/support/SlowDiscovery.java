import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A data node drains and ends while discovery answers slowly. */
final class SlowDiscovery {
    private static final int CLIENTS = 6;
    private static final int SHARDS = 6;
    private static final int DEADLINE_MS = 6000;

    /** How late each answer of discovery begins. */
    private static final int LATE_MS = 1500;

    /**
     * When the drain binds at the latest after discovery had it: 6 s until it counts as told, the 2
     * s of the settings, 50 ms on sockets and 150 ms for a router that is held up.
     */
    private static final int BINDS_AFTER_MS = 6000 + 2000 + 50 + 150;

    /** When the draining node's process ends. */
    private static final int ENDS_AFTER_MS = 15_000;

    private SlowDiscovery() {}

    public static void main(String[] args) throws Exception {
        Rig.run(args[0], 44, SlowDiscovery::course);
    }

    private static void course(Rig rig) throws Exception {
        List<Rig.Node> nodes = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            nodes.add(rig.new Node("s-" + i, "a", 0, "127.0.0.1"));
        }
        Rig.Node drained = nodes.get(0);
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
        AtomicBoolean stop = new AtomicBoolean();
        Map<Integer, AtomicInteger> statuses = new ConcurrentSkipListMap<>();
        Map<String, Integer> statusOf = new ConcurrentHashMap<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread thread = Rig.daemon(() -> ask(rig, router, number, stop, statuses, statusOf));
            thread.start();
            threads.add(thread);
        }
        Thread.sleep(3000);
        if (rig.trouble) {
            rig.note("from now on each answer of discovery begins " + LATE_MS + " ms late");
            discovery.lateMs = LATE_MS;
        }
        Thread.sleep(4000);
        drained.health = "draining";
        discovery.tell();
        long drainMs = rig.nowMs();
        rig.note(drained.name + " drains");
        Thread.sleep(ENDS_AFTER_MS);
        List<String> held = new ArrayList<>();
        for (Rig.Part part : drained.arrived) {
            if (part.connection.waiting.contains(part.id)) {
                held.add(part.id);
            }
        }
        drained.end();
        rig.note(drained.name + " has ended with these parts unanswered: " + held);
        Thread.sleep(2000);
        stop.set(true);
        for (Thread thread : threads) {
            thread.join();
        }
        long late = 0;
        long lastMs = 0;
        for (Rig.Part part : drained.arrived) {
            lastMs = Math.max(lastMs, part.atMs - drainMs);
            late += part.atMs - drainMs > BINDS_AFTER_MS ? 1 : 0;
        }
        long aborted =
                held.stream()
                        .filter(
                                id ->
                                        statusOf.getOrDefault(
                                                        id.substring(0, id.lastIndexOf('.')), 0)
                                                == 504)
                        .count();
        String counts =
                "the last part came "
                        + lastMs
                        + " ms after discovery had the drain; "
                        + aborted
                        + " accepted holds were aborted when the node ended; answers by status "
                        + statuses;
        if (drained.arrived.isEmpty()) {
            rig.finish(2, "the case could not run: " + counts);
        }
        rig.finish(
                late > 0 ? 1 : 0,
                late
                        + " parts were sent to the draining node later than "
                        + BINDS_AFTER_MS
                        + " ms after discovery had its drain; "
                        + counts);
    }

    private static void ask(
            Rig rig,
            Rig.Router router,
            int number,
            AtomicBoolean stop,
            Map<Integer, AtomicInteger> statuses,
            Map<String, Integer> statusOf) {
        for (int n = 0; !stop.get(); n++) {
            String id = "c" + number + "n" + n;
            try (Rig.Client client = new Rig.Client(router.port)) {
                client.send(
                        Rig.query(
                                "seat-hold",
                                id,
                                "kartli-rail",
                                DEADLINE_MS,
                                List.of(n % SHARDS, (n + 1) % SHARDS)));
                Rig.Reply reply = client.read(DEADLINE_MS + 1000);
                rig.note("client has for " + id + ": " + reply.status());
                statusOf.put(id, reply.status());
                statuses.computeIfAbsent(reply.status(), status -> new AtomicInteger())
                        .incrementAndGet();
                Thread.sleep(30);
            } catch (IOException | InterruptedException e) {
                rig.note("client failed with " + id + ": " + e);
            }
        }
    }
}
