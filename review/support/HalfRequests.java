import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that stop in the middle of a request and stay, beside usual ones. */
final class HalfRequests {
    private static final int USUAL_CLIENTS = 8;
    private static final int PAUSE_MS = 100;
    private static final int DEADLINE_MS = 6000;
    private static final int SECONDS = 35;

    /** When the bad clients come, and how long they stay. */
    private static final int BEFORE_MS = 3000;

    private static final int STAY_MS = 6000;
    private static final int BAD_CLIENTS = 400;

    /** The protocol's limit of a body; a bad client states it and stops shortly before its end. */
    private static final int BODY_BYTES = 64 << 10;

    private static final int MISSING_BYTES = 512;

    /** Half a second after the client's time, and 50 ms on sockets. */
    private static final int GRACE_MS = 550;

    private HalfRequests() {}

    public static void main(String[] args) throws Exception {
        Rig.run(args[0], 42, HalfRequests::course);
    }

    private static void course(Rig rig) throws Exception {
        for (int i = 0; i < 3; i++) {
            Rig.Node node = rig.new Node("s-" + i, "a", 0, "127.0.0.1");
            node.quiet = true;
        }
        Rig.Discovery discovery = rig.new Discovery();
        Rig.Router router = rig.new Router("n0");
        router.configure(
                discovery.address(),
                discovery.list(),
                Rig.LIMITS,
                Rig.settings(
                        1,
                        1,
                        6,
                        "{\"name\":\"journey-lookup\",\"promise\":2000000,\"deadline\":6000000,"
                                + "\"effect\":\"retryable\",\"worth\":1.0,\"lateWorth\":0.1}",
                        "[1.0]",
                        "[1.0]"));
        router.start();
        router.awaitReady();
        long endMs = rig.nowMs() + SECONDS * 1000L;
        AtomicInteger asked = new AtomicInteger();
        List<String> lost = new CopyOnWriteArrayList<>();
        Map<Integer, AtomicInteger> statuses = new ConcurrentSkipListMap<>();
        CountDownLatch over = new CountDownLatch(USUAL_CLIENTS);
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            int number = i;
            Rig.daemon(
                            () -> {
                                usual(rig, router, number, endMs, asked, statuses, lost);
                                over.countDown();
                            })
                    .start();
        }
        Thread.sleep(BEFORE_MS);
        String badEnds = rig.trouble ? stopInTheMiddle(rig, router) : "none";
        over.await();
        String counts =
                asked
                        + " usual queries, answers by status (-1: none within "
                        + GRACE_MS
                        + " ms of its time) "
                        + statuses
                        + "; bad clients: "
                        + badEnds;
        if (asked.get() < USUAL_CLIENTS || statuses.get(200) == null) {
            rig.finish(2, "the case could not run: " + counts);
        }
        if (!router.process.isAlive()) {
            rig.finish(1, "the router ended; " + counts);
        }
        rig.finish(
                lost.isEmpty() ? 0 : 1,
                lost.size() + " usual queries got no final answer; " + counts);
    }

    private static void usual(
            Rig rig,
            Rig.Router router,
            int number,
            long endMs,
            AtomicInteger asked,
            Map<Integer, AtomicInteger> statuses,
            List<String> lost) {
        Rig.Client client = null;
        boolean used = false;
        for (int n = 0; rig.nowMs() < endMs; n++) {
            String id = "c" + number + "n" + n;
            try {
                if (client == null) {
                    client = new Rig.Client(router.port);
                    used = false;
                }
                client.send(
                        Rig.query(
                                "journey-lookup",
                                id,
                                "kartli-rail",
                                DEADLINE_MS,
                                List.of(n % 6, (n + 1) % 6, (n + 2) % 6)));
            } catch (IOException e) {
                // It can't connect, or the connection ended while it rested: no query was taken.
                rig.note(id + " was not sent: " + e);
                close(client);
                client = null;
                pause();
                continue;
            }
            asked.incrementAndGet();
            long sentMs = rig.nowMs();
            Rig.Reply reply;
            try {
                reply = client.read(DEADLINE_MS + GRACE_MS);
            } catch (IOException e) {
                reply = new Rig.Reply(0, "", false);
            }
            long tookMs = rig.nowMs() - sentMs;
            rig.note(
                    id
                            + " asked at "
                            + sentMs
                            + " on a "
                            + (used ? "kept" : "new")
                            + " connection: status "
                            + reply.status()
                            + " after "
                            + tookMs
                            + " ms");
            statuses.computeIfAbsent(reply.status(), status -> new AtomicInteger())
                    .incrementAndGet();
            if (reply.status() <= 0) {
                // 0: the connection ended without an answer; that is not counted, as it may have
                // crossed the query.
                if (reply.status() == -1) {
                    lost.add(id);
                }
                close(client);
                client = null;
            } else {
                used = true;
                if (!reply.keep()) {
                    close(client);
                    client = null;
                }
            }
            pause();
        }
        close(client);
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void close(Rig.Client client) {
        try {
            if (client != null) {
                client.close();
            }
        } catch (IOException e) {
            // It is closed.
        }
    }

    /**
     * Bad clients that connect one after the other, send most of a request and stay; all close after
     * some seconds and do not come again. Returns how they fared.
     */
    private static String stopInTheMiddle(Rig rig, Rig.Router router)
            throws InterruptedException {
        String part = "x".repeat(BODY_BYTES - MISSING_BYTES);
        List<Rig.Client> clients = new ArrayList<>();
        for (int i = 0; i < BAD_CLIENTS; i++) {
            try {
                Rig.Client client = new Rig.Client(router.port);
                clients.add(client);
                client.send(
                        "POST /journey-lookup HTTP/1.1\r\nHost: backend.local\r\nReq-Id: half"
                                + i
                                + "\r\nReq-Owner: kartli-rail\r\nReq-Deadline-Ms: 3000\r\n"
                                + "Content-Length: "
                                + BODY_BYTES
                                + "\r\n\r\n{\"ranges\":[],\"predicate\":\""
                                + part.substring(27));
            } catch (IOException e) {
                rig.note("bad client " + i + ": " + e);
            }
        }
        rig.note(clients.size() + " bad clients have sent most of a request each and stay");
        Thread.sleep(STAY_MS);
        int ended = 0;
        for (Rig.Client client : clients) {
            try {
                if (client.read(1).status() != -1) {
                    ended++;
                }
            } catch (IOException e) {
                ended++;
            }
            close(client);
        }
        rig.note("the bad clients have gone");
        return ended
                + " of "
                + clients.size()
                + " had an error or a close after "
                + STAY_MS
                + " ms";
    }
}
