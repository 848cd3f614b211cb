package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A bad client sends the id of another client's open request, and the end of its own request only
 * later. It gets an error or the value of its own request, never the other's.
 */
final class ForeignValue implements Case.Body {
    private static final int ROUNDS = 60;

    /** Work of a costly part, longer than the time that the usual client has left. */
    private static final int WORK_MILLIS = 1200;

    private static final int USUAL_DEADLINE_MILLIS = 800;
    private static final int BAD_DEADLINE_MILLIS = 3000;

    @Override
    public boolean run(Trace trace, Path folder, boolean trouble) throws Exception {
        Discovery discovery = new Discovery(trace);
        for (int i = 0; i < 3; i++) {
            discovery.set(
                    new DataNode(
                                    "s-" + i,
                                    trace,
                                    (id, text) -> text.startsWith("text-") ? 20 : WORK_MILLIS)
                            .entry("up"));
        }
        try (Router router =
                new Router(trace, folder, discovery, new Router.Setup(192, 1, 4, null))) {
            router.awaitReady(30);
            Load others = new Load(trace, router.port).start(50, "search", "search");
            Thread.sleep(1000);
            List<Thread> threads = new ArrayList<>();
            List<Exchange> bad = new ArrayList<>();
            for (int i = 0; i < ROUNDS; i++) {
                String id = "open" + i;
                Exchange usual = new Exchange(trace, router.port, id, true);
                Exchange other =
                        new Exchange(trace, router.port, trouble ? id : "own" + i, false);
                bad.add(other);
                threads.add(Threads.daemon(() -> usual(usual, trace)));
                threads.add(Threads.daemon(() -> bad(other, trace)));
                Thread.sleep(150);
            }
            for (Thread thread : threads) {
                thread.join(10_000);
            }
            List<Exchange> answered = others.finish();
            trace.say("other clients: " + Load.summary(answered));
            if (!router.isAlive() || Load.count(answered, 200) < answered.size() / 2) {
                throw new Case.CannotRun("usual clients were not served");
            }
            return kept(trace, bad);
        }
    }

    private static void usual(Exchange one, Trace trace) {
        trace.line("the usual client sends " + one.id + ", secret-" + one.id);
        one.send(
                Exchange.query("search", one.id, USUAL_DEADLINE_MILLIS, 0, "secret-" + one.id));
        one.await(USUAL_DEADLINE_MILLIS + 550);
    }

    private static void bad(Exchange one, Trace trace) {
        try {
            Thread.sleep(500);
            String request =
                    Exchange.query("search", one.id, BAD_DEADLINE_MILLIS, 0, "mine-" + one.id)
                            .replace("Req-Owner: acme", "Req-Owner: borealis");
            int half = request.length() - 5;
            trace.line("the bad client sends half a request of id " + one.id);
            one.send(request.substring(0, half));
            Thread.sleep(350);
            trace.line("the bad client sends the rest of id " + one.id);
            one.send(request.substring(half));
            one.await(BAD_DEADLINE_MILLIS + 550);
            trace.line("the bad client gets " + one.status + " " + one.body);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean kept(Trace trace, List<Exchange> bad) {
        int foreign = 0;
        int own = 0;
        for (Exchange one : bad) {
            if (one.status == 200 && one.body.contains("-for-mine-" + one.id + "\"")) {
                own++;
            } else if (one.status == 200) {
                foreign++;
                trace.say("foreign value: " + one.id + " asked for mine-" + one.id + ", got " + one.body);
            }
        }
        trace.say(
                bad.size() + " bad clients: own value " + own + ", another client's value " + foreign);
        return foreign == 0;
    }
}
