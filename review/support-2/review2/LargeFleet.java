package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A data node begins to drain in a fleet of 3,200 data nodes. Nothing new goes to it once the
 * router counts as told and the grace is over. Without the disruption the fleet has 200.
 */
final class LargeFleet implements Case.Body {
    @Override
    public boolean run(Trace trace, Path folder, boolean trouble) throws Exception {
        int fleet = trouble ? 3200 : 200;
        Discovery discovery = new Discovery(trace);
        List<DataNode> holders = new ArrayList<>();
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            DataNode node = new DataNode(String.format("s-%08x", 0x5be2a07c + i), trace, Drain.WORK);
            holders.add(node);
            entries.add(node.entry("up"));
        }
        // Nothing is asked of the others: they hold other shards.
        for (int i = 3; i < fleet; i++) {
            String dial = "127.1." + i / 250 + "." + (1 + i % 250) + ":7070";
            entries.add(
                    DataNode.entry(String.format("s-%08x", 0x60000000 + i * 7919), dial, i / 3, "up"));
        }
        discovery.set(entries.toArray(String[]::new));
        int cells = (fleet + 2) / 3;
        trace.say("the whole list has " + discovery.whole().length() + " bytes");
        Router.Setup setup = new Router.Setup(192, cells, cells, discovery.whole());
        try (Router router = new Router(trace, folder, discovery, setup)) {
            router.awaitReady(30);
            return Drain.run(trace, router, discovery, holders.get(0), 1000, 40_000);
        }
    }
}
