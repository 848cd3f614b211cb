import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A zone is cut off, and an operator moves a slice off the node in it. */
final class UnfencedHolder {
    private static final int DEADLINE_MS = 3000;

    /** How long the zone is cut off. */
    private static final int CUT_MS = 18_000;

    /** From the cut to the drain and the move, and from there to the node's leaving the list. */
    private static final int DRAIN_AFTER_MS = 1000;

    private static final int GONE_AFTER_MS = 4000;

    /** From the end of the cut to the end of the case. */
    private static final int SETTLE_MS = 6000;

    private UnfencedHolder() {}

    public static void main(String[] args) throws Exception {
        Rig.run(args[0], 46, UnfencedHolder::course);
    }

    private static void course(Rig rig) throws Exception {
        // Zone a has s-0, the router inside and its clients; all else is in the other zones.
        SliceStore[] stores = new SliceStore[3];
        Rig.Node[] nodes = new Rig.Node[3];
        for (int i = 0; i < 3; i++) {
            stores[i] = new SliceStore(rig::nowMs);
            nodes[i] = rig.new Node("s-" + i, i == 0 ? "a" : i == 1 ? "b" : "c", 0, "127.0.0.1");
            nodes[i].slices = stores[i];
        }
        Rig.Router service = rig.new Router("layouts");
        Rig.Router inside = rig.new Router("inside");
        Rig.Router outside = rig.new Router("outside");
        Rig.Way intoZone = rig.new Way(nodes[0], 0);
        Rig.Way toSecond = rig.new Way(nodes[1], 0);
        Rig.Way toThird = rig.new Way(nodes[2], 0);
        Rig.Way toService = rig.new Way("layouts", service.address(), 0);
        Rig.Discovery outsideList = rig.new Discovery(Map.of("s-0", intoZone.address()));
        Rig.Discovery insideList =
                rig.new Discovery(Map.of("s-1", toSecond.address(), "s-2", toThird.address()));
        Path settings =
                SliceSettings.write(
                        rig, "outside", service.address(), service.address(), outsideList);
        Path insideSettings =
                SliceSettings.write(
                        rig, "inside", service.address(), toService.address(), outsideList);
        service.launch("exec sh deploy/run.sh layouts serve --settings " + settings);
        String vertical =
                Rig.settings(
                        1,
                        1,
                        4,
                        "{\"name\":\"seat-hold\",\"promise\":2000000,\"deadline\":6000000,"
                                + "\"effect\":\"fragile\",\"worth\":1.0,\"lateWorth\":0.1}",
                        "[1.0]",
                        "[1.0]");
        inside.configure(insideList.address(), insideList.list(), Rig.LIMITS, vertical);
        outside.configure(outsideList.address(), outsideList.list(), Rig.LIMITS, vertical);
        inside.start(" --settings " + insideSettings);
        outside.start(" --settings " + settings);
        inside.awaitReady();
        outside.awaitReady();
        AtomicBoolean stop = new AtomicBoolean();
        Map<Integer, AtomicInteger> insideStatuses = new ConcurrentSkipListMap<>();
        Map<Integer, AtomicInteger> outsideStatuses = new ConcurrentSkipListMap<>();
        Thread one = Rig.daemon(() -> ask(rig, inside, "in", stop, insideStatuses));
        Thread other = Rig.daemon(() -> ask(rig, outside, "out", stop, outsideStatuses));
        one.start();
        other.start();
        Thread.sleep(2000);
        if (rig.trouble) {
            for (Rig.Way way : List.of(intoZone, toSecond, toThird, toService)) {
                way.cut(true);
            }
            insideList.silent = true;
            rig.note("zone a is cut off");
        }
        long cutMs = rig.nowMs();
        Thread.sleep(DRAIN_AFTER_MS);
        nodes[0].health = "draining";
        tell(rig, outsideList, insideList);
        rig.note("s-0 drains");
        SliceSettings.operator(
                rig, settings, "start --change '{\"move\": 0, \"off\": \"s-0\", \"onto\": \"s-2\"}'");
        Thread.sleep(GONE_AFTER_MS);
        nodes[0].health = "gone";
        tell(rig, outsideList, insideList);
        rig.note("discovery, which can't see s-0, lists it no more");
        Thread.sleep(Math.max(0, cutMs + CUT_MS - 4000 - rig.nowMs()));
        SliceSettings.operator(rig, settings, "status");
        Thread.sleep(Math.max(0, cutMs + CUT_MS - rig.nowMs()));
        long cutOverMs = rig.nowMs();
        if (rig.trouble) {
            insideList.silent = false;
            for (Rig.Way way : List.of(intoZone, toSecond, toThird, toService)) {
                way.cut(false);
            }
            rig.note("zone a is back");
        }
        nodes[0].health = "up";
        outsideList.tell();
        insideList.tell();
        rig.note("discovery lists s-0 again");
        Thread.sleep(SETTLE_MS);
        stop.set(true);
        one.join();
        other.join();
        SliceSettings.operator(rig, settings, "show");
        long takenOverMs = stores[2].servedSince(0);
        long stale = count(nodes[0], takenOverMs, cutOverMs);
        long current = count(nodes[1], takenOverMs, cutOverMs) + count(nodes[2], takenOverMs, cutOverMs);
        String counts =
                "the new holder served from "
                        + (takenOverMs == Long.MAX_VALUE ? "never" : takenOverMs - cutMs + " ms")
                        + " after the cut; from then to its end s-0 took "
                        + stale
                        + " holds of slice 0 and the holders in force "
                        + current
                        + "; at the end s-0 has slice 0 as "
                        + stores[0].state(0)
                        + " (null: dropped); answers by status inside "
                        + insideStatuses
                        + ", outside "
                        + outsideStatuses;
        if (insideStatuses.get(200) == null || outsideStatuses.get(200) == null) {
            rig.finish(2, "the case could not run: " + counts);
        }
        rig.finish(
                stale > 0 ? 1 : 0,
                (stale > 0 ? "two sets of holders took holds of one slice; " : "one set of holders; ")
                        + counts);
    }

    private static void tell(Rig rig, Rig.Discovery outside, Rig.Discovery inside) {
        outside.tell();
        if (!rig.trouble) {
            inside.tell();
        }
    }

    /** Parts of slice 0 that the node took and ran between these times. */
    private static long count(Rig.Node node, long fromMs, long toMs) {
        return node.arrived.stream()
                .filter(part -> part.shard == 0 && part.atMs > fromMs && part.atMs < toMs)
                .count();
    }

    private static void ask(
            Rig rig,
            Rig.Router router,
            String name,
            AtomicBoolean stop,
            Map<Integer, AtomicInteger> statuses) {
        for (int n = 0; !stop.get(); n++) {
            String id = name + n;
            try (Rig.Client client = new Rig.Client(router.port)) {
                client.send(Rig.query("seat-hold", id, "kartli-rail", DEADLINE_MS, List.of(0)));
                Rig.Reply reply = client.read(DEADLINE_MS + 1000);
                rig.note("client has for " + id + ": " + reply.status() + " " + reply.body());
                statuses.computeIfAbsent(reply.status(), status -> new AtomicInteger())
                        .incrementAndGet();
                Thread.sleep(100);
            } catch (IOException | InterruptedException e) {
                rig.note("client failed with " + id + ": " + e);
            }
        }
    }
}
