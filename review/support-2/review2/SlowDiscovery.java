package review2;

import java.nio.file.Path;

/**
 * Discovery answers slowly, and a data node begins to drain. Nothing new goes to it once the router
 * counts as told, 6 s later at the latest, and the grace is over.
 */
final class SlowDiscovery implements Case.Body {
    /** Within the 2 s after a wait for which a change is not counted as told yet. */
    private static final int DELAY_MILLIS = 1200;

    @Override
    public boolean run(Trace trace, Path folder, boolean trouble) throws Exception {
        Discovery discovery = new Discovery(trace);
        DataNode[] nodes = new DataNode[3];
        for (int i = 0; i < nodes.length; i++) {
            nodes[i] = new DataNode("s-" + i, trace, Drain.WORK);
            discovery.set(nodes[i].entry("up"));
        }
        try (Router router =
                new Router(trace, folder, discovery, new Router.Setup(192, 1, 4, null))) {
            router.awaitReady(30);
            if (trouble) {
                discovery.delayMillis = DELAY_MILLIS;
                trace.line("from now on discovery answers " + DELAY_MILLIS + " ms late");
            }
            return Drain.run(trace, router, discovery, nodes[0], 4000, 40_000);
        }
    }
}
