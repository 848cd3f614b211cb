package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Bad clients stop in the middle of a request and stay, with bodies of the length that the protocol
 * allows. The usual clients' queries get their final answers all the same.
 */
final class HalfRequests implements Case.Body {
    private static final int BAD_CLIENTS = 330;

    /** Together with the bad ones within a third of the descriptors, 341 of 1,024. */
    private static final int USUAL_CLIENTS = 8;

    /** How often they come: "the same again as soon as it is turned away". */
    private static final int WAVES = 3;

    private static final int MEMORY_MB = 192;

    @Override
    public boolean run(Trace trace, Path folder, boolean trouble) throws Exception {
        Discovery discovery = new Discovery(trace);
        for (int i = 0; i < 3; i++) {
            discovery.set(new DataNode("s-" + i, trace, (id, text) -> 20).entry("up"));
        }
        try (Router router =
                new Router(trace, folder, discovery, new Router.Setup(MEMORY_MB, 1, 4, null))) {
            router.awaitReady(30);
            Load load = new Load(trace, router.port).startClients(USUAL_CLIENTS, 200, "search", "hold");
            Thread.sleep(2000);
            if (trouble) {
                for (int wave = 1; wave <= WAVES && (wave == 1 || router.healthy()); wave++) {
                    trace.line(BAD_CLIENTS + " clients send all but the last 20 bytes, and stay");
                    halves(trace, router.port, wave);
                }
            }
            trace.line("the bad clients have gone");
            Thread.sleep(8000);
            boolean healthy = router.healthy();
            List<Exchange> usual = load.finish();
            long lost = Load.count(usual, Exchange.NOTHING);
            trace.say(Load.summary(usual));
            trace.say("/healthz 8 s after the bad clients went: " + (healthy ? "200" : "no 200"));
            long served = Load.count(usual, 200);
            boolean crashed = !router.isAlive();
            trace.say("the router crashed: " + crashed);
            trace.say("ends within 4 s of SIGTERM: " + router.terminate(4));
            if (served == 0) {
                throw new Case.CannotRun("nothing was served before");
            }
            return lost == 0 && !crashed;
        }
    }

    /** Sends heads, some bytes, and the rest but for the ends; all stay until they are cut off. */
    private static void halves(Trace trace, int port, int wave) throws InterruptedException {
        List<Exchange> bad = new ArrayList<>();
        String request =
                Exchange.query("search", "bad0000", 3000, 0, "x".repeat(65_400))
                        .replace("Req-Owner", "Cookie: " + "y".repeat(7_600) + "\r\nReq-Owner");
        int body = request.indexOf("\r\n\r\n") + 4;
        for (int i = 0; i < BAD_CLIENTS; i++) {
            Exchange one = new Exchange(trace, port, "bad", false);
            bad.add(one);
            String id = String.format("bad%d%03d", wave, i);
            one.send(request.substring(0, body).replace("bad0000", id));
        }
        bad.forEach(one -> one.send(request.substring(body, body + 1000)));
        Thread.sleep(50);
        bad.forEach(one -> one.send(request.substring(body + 1000, request.length() - 20)));
        Thread.sleep(3000);
        bad.forEach(Exchange::close);
    }
}
