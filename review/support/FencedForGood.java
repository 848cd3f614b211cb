import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A move is abandoned halfway, as the way to the node that gives the slice up is cut. */
final class FencedForGood {
    private static final int DEADLINE_MS = 3000;

    /** How long the way from the layout service to the node is cut. */
    private static final int CUT_MS = 16_000;

    /** When what was written to an open connection during the cut arrives after it. */
    private static final int ARRIVES_LATE_MS = 4000;

    /** From the end of the cut to the drain of the other holder, and from there to the verdict. */
    private static final int SETTLE_MS = 12_000;

    private static final int DRAINED_MS = 3000;
    private static final int WATCH_MS = 12_000;

    private FencedForGood() {}

    public static void main(String[] args) throws Exception {
        Rig.run(args[0], 45, FencedForGood::course);
    }

    private static void course(Rig rig) throws Exception {
        SliceStore[] stores = new SliceStore[3];
        Rig.Node[] nodes = new Rig.Node[3];
        for (int i = 0; i < 3; i++) {
            stores[i] = new SliceStore(rig::nowMs);
            nodes[i] = rig.new Node("s-" + i, i == 0 ? "a" : i == 1 ? "b" : "c", 0, "127.0.0.1");
            nodes[i].slices = stores[i];
            nodes[i].quiet = true;
        }
        Rig.Way way = rig.new Way(nodes[0], ARRIVES_LATE_MS);
        Rig.Discovery discovery = rig.new Discovery();
        Rig.Discovery serviceDiscovery = rig.new Discovery(Map.of("s-0", way.address()));
        Rig.Router service = rig.new Router("layouts");
        Rig.Router router = rig.new Router("n0");
        Path settings =
                SliceSettings.write(
                        rig, "postbeam", service.address(), service.address(), serviceDiscovery);
        service.launch(
                "exec sh deploy/run.sh layouts serve --settings " + settings);
        router.configure(
                discovery.address(),
                discovery.list(),
                Rig.LIMITS,
                Rig.settings(
                        1,
                        1,
                        4,
                        "{\"name\":\"seat-search\",\"promise\":2500000,\"deadline\":7500000,"
                                + "\"effect\":\"retryable\",\"worth\":2.0,\"lateWorth\":0.1}",
                        "[0.75]",
                        "[0.75]"));
        router.start(" --settings " + settings);
        router.awaitReady();
        AtomicBoolean stop = new AtomicBoolean();
        AtomicBoolean watching = new AtomicBoolean();
        Map<Integer, AtomicInteger> before = new ConcurrentSkipListMap<>();
        Map<Integer, AtomicInteger> after = new ConcurrentSkipListMap<>();
        Thread client =
                Rig.daemon(
                        () -> {
                            for (int n = 0; !stop.get(); n++) {
                                ask(rig, router, n, watching.get() ? after : before);
                            }
                        });
        client.start();
        Thread.sleep(3000);
        // Slice 0 is held by s-0 and s-1. The way from the layout service to s-0, and no other, is cut
        // before the fence goes out; routers reach s-0 as before.
        if (rig.trouble) {
            way.cut(true);
            rig.timers.schedule(() -> way.cut(false), CUT_MS, TimeUnit.MILLISECONDS);
        }
        SliceSettings.operator(rig, settings, "start --change '{\"move\": 0, \"off\": \"s-0\", \"onto\": \"s-2\"}'");
        Thread.sleep(CUT_MS + SETTLE_MS);
        SliceSettings.operator(rig, settings, "status");
        SliceSettings.operator(rig, settings, "verify");
        SliceSettings.operator(rig, settings, "show");
        nodes[1].health = "draining";
        discovery.tell();
        serviceDiscovery.tell();
        rig.note("s-1 drains");
        Thread.sleep(DRAINED_MS);
        watching.set(true);
        Thread.sleep(WATCH_MS);
        stop.set(true);
        client.join();
        SliceSettings.operator(rig, settings, "verify");
        String states = "";
        for (int i = 0; i < 3; i++) {
            states += " s-" + i + " " + stores[i].state(0);
        }
        String counts =
                "seat-searches of slice 0 by status: before "
                        + before
                        + ", at the end "
                        + after
                        + "; slice 0 at the nodes:"
                        + states;
        if (before.get(200) == null || after.isEmpty()) {
            rig.finish(2, "the case could not run: " + counts);
        }
        rig.finish(
                after.get(200) == null ? 1 : 0,
                (after.get(200) == null ? "slice 0 is answered no more; " : "slice 0 is answered; ")
                        + counts);
    }

    private static void ask(
            Rig rig, Rig.Router router, int n, Map<Integer, AtomicInteger> statuses) {
        try (Rig.Client client = new Rig.Client(router.port)) {
            client.send(Rig.query("seat-search", "q" + n, "kartli-rail", DEADLINE_MS, List.of(0)));
            Rig.Reply reply = client.read(DEADLINE_MS + 1000);
            rig.note("client has for q" + n + ": " + reply.status() + " " + reply.body());
            statuses.computeIfAbsent(reply.status(), status -> new AtomicInteger())
                    .incrementAndGet();
            Thread.sleep(100);
        } catch (IOException | InterruptedException e) {
            rig.note("client failed with q" + n + ": " + e);
        }
    }
}
