package review2;

import java.util.List;

/** A data node drains under the load of usual clients, stays up for a while, and then is gone. */
final class Drain {
    /** Each part works 400 ms, so that a data node that is taken away has some under way. */
    static final DataNode.Work WORK = (id, text) -> 400;

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
        discovery.set(node.entry("draining"));
        trace.line(node.name + " drains: discovery has it");
        Thread.sleep(afterMillis);
        List<DataNode.Part> late = node.partsAfter(drains + TOLD_SECONDS + GRACE_SECONDS);
        trace.line(node.name + " is taken away");
        node.close();
        Thread.sleep(1000);
        List<Exchange> usual = load.finish();
        trace.say(Load.summary(usual));
        for (Exchange one : usual) {
            if (one.status == 504 && late.stream().anyMatch(part -> part.id().equals(one.id + ".0"))) {
                trace.say("accepted work is lost with " + node.name + ": " + one.id + ", a hold");
            }
        }
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
        if (before == 0) {
            throw new Case.CannotRun("the node was never asked");
        }
        return late.isEmpty();
    }
}
