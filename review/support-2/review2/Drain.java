package review2;

import java.util.List;

/** A data node drains under the load of usual clients, and stays up to the end. */
final class Drain {
    /** Each part works 20 ms. */
    static final DataNode.Work WORK = (id, text) -> 20;

    /** "At the latest 6 s after discovery had it and could be reached". */
    private static final double TOLD_SECONDS = 6;

    /** The grace of the settings, and 50 ms that PROTOCOL.md adds to every time limit. */
    private static final double GRACE_SECONDS = 2.05;

    private Drain() {}

    static boolean run(
            Trace trace,
            Router router,
            Discovery discovery,
            DataNode node,
            long beforeMillis,
            long afterMillis)
            throws Exception {
        Load load = new Load(trace, router.port).start(100, "search", "hold");
        Thread.sleep(beforeMillis);
        int before = node.parts.size();
        double drains = trace.seconds();
        node.draining = true;
        discovery.set(node.entry("draining"));
        trace.line(node.name + " drains: discovery has it");
        Thread.sleep(afterMillis);
        List<DataNode.Part> late = node.partsAfter(drains + TOLD_SECONDS + GRACE_SECONDS);
        List<Exchange> usual = load.finish();
        trace.say(Load.summary(usual));
        trace.say(node.name + " had " + before + " parts before it drained");
        for (DataNode.Part part : late) {
            trace.line(
                    String.format(
                            "part %s came to %s %.2f s after discovery had the drain",
                            part.id(), node.name, part.at() - drains));
        }
        trace.say(
                late.size()
                        + " new parts came to "
                        + node.name
                        + " later than "
                        + (TOLD_SECONDS + GRACE_SECONDS)
                        + " s after discovery had the drain");
        if (before == 0 || Load.count(usual, 200) == 0 || !router.isAlive()) {
            throw new Case.CannotRun("the node was never asked, or nothing was answered");
        }
        return late.isEmpty();
    }
}
