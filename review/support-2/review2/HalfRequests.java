package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Bad clients stop in the middle of a request and stay, with bodies of the length that the protocol
 * allows. The usual clients' queries get their final answers all the same.
 */
final class HalfRequests implements Case.Body {
    private static final int BAD_CLIENTS = 300;
    private static final int MEMORY_MB = 112;

    @Override
    public boolean run(Trace trace, Path folder, boolean trouble) throws Exception {
        Discovery discovery = new Discovery(trace);
        for (int i = 0; i < 3; i++) {
            discovery.set(new DataNode("s-" + i, trace, (id, text) -> 20).entry("up"));
        }
        try (Router router =
                new Router(trace, folder, discovery, new Router.Setup(MEMORY_MB, 1, 4, null))) {
            router.awaitReady(30);
            Load load = new Load(trace, router.port).start(100, "search", "hold");
            Thread.sleep(2000);
            List<Thread> bad = new ArrayList<>();
            if (trouble) {
                trace.line(BAD_CLIENTS + " clients send all but the last 20 bytes, and stay");
                for (int i = 0; i < BAD_CLIENTS; i++) {
                    Exchange one = new Exchange(trace, router.port, "bad" + i, false);
                    bad.add(Threads.daemon(() -> half(one)));
                }
            }
            Thread.sleep(8000);
            trace.line("the bad clients have gone");
            Thread.sleep(8000);
            boolean healthy = router.healthy();
            List<Exchange> usual = load.finish();
            long lost = Load.count(usual, Exchange.NOTHING);
            trace.say(Load.summary(usual));
            trace.say("/healthz 8 s after the bad clients went: " + (healthy ? "200" : "no 200"));
            trace.say("ends within 4 s of SIGTERM: " + router.terminate(4));
            return lost == 0;
        }
    }

    /** Sends the head, some bytes, and the rest but for the end; stays until it is cut off. */
    private static void half(Exchange one) {
        try {
            String request = Exchange.query("search", one.id, 3000, 0, "x".repeat(65_400));
            int body = request.indexOf("\r\n\r\n") + 4;
            one.send(request.substring(0, body));
            Thread.sleep(100);
            one.send(request.substring(body, body + 1000));
            Thread.sleep(50);
            one.send(request.substring(body + 1000, request.length() - 20));
            one.await(6000);
            one.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
