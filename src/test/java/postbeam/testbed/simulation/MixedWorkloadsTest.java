package postbeam.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import postbeam.config.RouterConfig;
import postbeam.router.Router;
import postbeam.testbed.fakes.FakeDiscovery;
import postbeam.testbed.fakes.ScriptedDataNode;

/**
 * Routers with the old and with the new kind of settings run on loopback in front of the same data
 * nodes, of which one hangs and one is drained.
 */
class MixedWorkloadsTest {
    private static final int WORK_MS = 15;
    private static final int CORES = 2;
    private static final int QUERIES = 60;
    private static final Duration CLIENT_DEADLINE = Duration.ofSeconds(3);
    private static final HttpClient HTTP =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** A kind of router: its settings, and the number of concurrent clients. */
    private record RouterKind(String name, String settings, int clients) {}

    private static final String OLD =
            "\"domain\":{\"cells\":1,\"reach\":1,\"shards\":4,\"partsACall\":16,\"callCost\":5000,"
                + "\"classNeed\":[1,1],\"leastShare\":[1,1]},\"caps\":{\"maxAttempts\":3,\"mayDuplicate\":true,\"cancelling\":true,"
                + "\"probes\":true,\"maxStreams\":32,\"connectTimeout\":250000,\"keepalive\":15000000},"
                + "\"tenants\":[{\"name\":\"acme\",\"quotaPerS\":50}],\"report\":{\"how\":\"none\"}";
    private static final String NEW =
            "\"discovery\":\"subscribe\",\"domain\":{\"cells\":1,\"reach\":1,\"shards\":4,"
                + "\"partsACall\":1,\"callCost\":0,\"classNeed\":[1,1],\"leastShare\":[1,1]},\"caps\":{\"maxAttempts\":4,"
                + "\"mayDuplicate\":false,\"cancelling\":true,\"probes\":false,\"retryAfter\":false,\"maxRetryAfter\":2000000,"
                + "\"maxStreams\":100,\"connectTimeout\":250000,\"keepalive\":15000000},"
                + "\"report\":{\"how\":\"answers\",\"columns\":\"svc_ms\"}";

    /** A data node with two cores. Query ids begin with the name of the router's kind. */
    private static final class Node implements AutoCloseable {
        final ScriptedDataNode frames = new ScriptedDataNode();
        final ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        final Semaphore cores = new Semaphore(CORES, true);
        final ExecutorService threads = Executors.newCachedThreadPool();
        final Observations observations;
        volatile boolean hangs;
        volatile long drainGraceEnd = Long.MAX_VALUE;

        Node(Observations observations) throws IOException {
            this.observations = observations;
            Future<?> unused =
                    threads.submit(
                            () -> {
                                while (true) {
                                    Socket socket = server.accept();
                                    Future<?> unusedServe = threads.submit(() -> serve(socket));
                                }
                            });
        }

        private Void serve(Socket socket) throws Exception {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                String text =
                        new String(
                                in.readNBytes(Integer.reverseBytes(in.readInt())),
                                StandardCharsets.UTF_8);
                if (text.charAt(0) == 'o') {
                    send(socket, "ogood");
                } else if (text.charAt(0) == 'n') {
                    observations.onAttemptEnded(text.substring(1).trim());
                }
                for (String rest = text.charAt(0) == 'm' ? text.substring(1) : "";
                        !rest.isEmpty(); ) {
                    int end = rest.indexOf('\n');
                    String[] words = rest.substring(0, end).split(" ", 0);
                    rest = rest.substring(end + 1 + Integer.parseInt(words[3]));
                    observations.onAttempt(words[0], System.nanoTime() > drainGraceEnd);
                    if (!hangs) {
                        Future<?> unused = threads.submit(() -> work(socket, words[0]));
                    }
                }
            }
        }

        private Void work(Socket socket, String requestId) throws Exception {
            cores.acquire();
            Thread.sleep(WORK_MS);
            cores.release();
            observations.awaitSingleAttempt(requestId);
            observations.onRan(requestId);
            send(socket, "q" + requestId + " good 0 -\nv" + requestId);
            return null;
        }

        private void send(Socket socket, String frame) throws IOException {
            synchronized (socket) {
                frames.send(socket, frame);
            }
        }

        String entry(String name, String health) {
            return FakeDiscovery.hostEntry(
                    name, "127.0.0.1:" + server.getLocalPort(), "a", health, 0);
        }

        @Override
        public void close() throws IOException {
            frames.close();
            server.close();
            threads.shutdownNow();
        }
    }

    /** What the nodes observed of each shard request, and what clients received. */
    private static final class Observations {
        private final Map<String, Integer> inFlight = new ConcurrentHashMap<>();
        private final Map<String, Integer> runs = new ConcurrentHashMap<>();
        final List<String> violations = new CopyOnWriteArrayList<>();
        final Map<String, AtomicInteger> servedInTime = new ConcurrentHashMap<>();

        void onAttempt(String requestId, boolean afterGrace) {
            inFlight.merge(requestId, 1, Integer::sum);
            if (afterGrace) {
                violations.add(
                        requestId + " went to a node after the grace period of its draining");
            }
        }

        /**
         * Waits until no other attempt of the shard request is in flight, before its answer is
         * sent. A cancellation that was sent before this attempt arrives by then or soon after,
         * whichever connection is read first; a hedged attempt is cancelled only after this answer.
         */
        void awaitSingleAttempt(String requestId) throws InterruptedException {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
            while (requestId.startsWith("new") && inFlight.getOrDefault(requestId, 0) > 1) {
                if (System.nanoTime() > end) {
                    violations.add(
                            "two attempts of "
                                    + requestId
                                    + " are in flight, but hedging is disabled");
                    return;
                }
                Thread.sleep(5);
            }
        }

        void onAttemptEnded(String requestId) {
            inFlight.computeIfPresent(requestId, (p, calls) -> calls > 1 ? calls - 1 : null);
        }

        void onRan(String requestId) {
            onAttemptEnded(requestId);
            if (runs.merge(requestId, 1, Integer::sum) > 1 && requestId.contains("hold")) {
                violations.add("the side-effecting " + requestId + " ran twice");
            }
        }
    }

    private static Router router(RouterKind kind, String address, FakeDiscovery discovery)
            throws IOException {
        return new Router(
                RouterConfig.parse(
                        ("{\"name\":\""
                                        + kind.name
                                        + "\",\"listen\":\""
                                        + address
                                        + "\",\"discovery\":\""
                                        + discovery.address()
                                        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"memory_mb\":192,\"sockets\":1024},"
                                        + "\"settings\":{\"zone\":\"a\",\"nInstances\":2,"
                                        + kind.settings
                                        + ",\"obligations\":{"
                                        + "\"stopSendingWithin\":2000000,\"askEvery\":10000000},\"classes\":["
                                        + "{\"name\":\"look\",\"promise\":1000000,\"deadline\":3000000,\"effect\":\"retryable\",\"lateWorth\":0.1},"
                                        + "{\"name\":\"hold\",\"promise\":1000000,\"deadline\":3000000,\"effect\":\"fragile\",\"lateWorth\":0.1}]}}")
                                .getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Runs the routers side by side. Returns, by kind, the share of queries that were answered
     * completely and in time.
     */
    private static Map<String, Double> run(Observations observations, RouterKind... kinds)
            throws Exception {
        List<Node> nodes = new ArrayList<>();
        List<Router> routers = new ArrayList<>();
        ExecutorService clients = Executors.newCachedThreadPool();
        FakeDiscovery discovery = null;
        try {
            for (int i = 0; i < 4; i++) {
                nodes.add(new Node(observations));
            }
            discovery = new FakeDiscovery(nodeList(nodes, "up"));
            Map<String, AtomicInteger> queriesSent = new ConcurrentHashMap<>();
            List<java.util.concurrent.Future<?>> clientRuns = new ArrayList<>();
            for (RouterKind kind : kinds) {
                String address;
                try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                    address = "127.0.0.1:" + free.getLocalPort();
                }
                Router router = router(kind, address, discovery);
                router.start();
                routers.add(router);
                observations.servedInTime.put(kind.name, new AtomicInteger());
                queriesSent.put(kind.name, new AtomicInteger());
                for (int c = 0; c < kind.clients; c++) {
                    int client = c;
                    clientRuns.add(
                            clients.submit(
                                    () ->
                                            client(
                                                    kind,
                                                    address,
                                                    client,
                                                    observations,
                                                    queriesSent.get(kind.name))));
                }
            }
            Thread.sleep(600);
            nodes.get(0).hangs = true;
            Thread.sleep(600);
            nodes.get(3).drainGraceEnd = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
            discovery.tell(nodeList(nodes, "draining"));
            for (var end : clientRuns) {
                end.get(60, TimeUnit.SECONDS);
            }
            Map<String, Double> shares = new TreeMap<>();
            observations.servedInTime.forEach(
                    (name, count) ->
                            shares.put(name, count.get() / (double) queriesSent.get(name).get()));
            return shares;
        } finally {
            clients.shutdownNow();
            for (Router router : routers) {
                router.stop();
            }
            for (Node node : nodes) {
                node.close();
            }
            if (discovery != null) {
                discovery.close();
            }
        }
    }

    private static String nodeList(List<Node> nodes, String lastHealth) {
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < nodes.size(); i++) {
            hosts.append(i == 0 ? "" : ",")
                    .append(nodes.get(i).entry("n" + i, i == 3 ? lastHealth : "up"));
        }
        return hosts.toString();
    }

    private static Void client(
            RouterKind kind,
            String address,
            int client,
            Observations observations,
            AtomicInteger queriesSent)
            throws Exception {
        for (int i = 0; i < QUERIES; i++) {
            boolean hold = i % 5 == 4;
            int parts = hold ? 1 : 3;
            StringBuilder ranges = new StringBuilder();
            for (int p = 0; p < parts; p++) {
                ranges.append(p == 0 ? "" : ",")
                        .append("{\"range\":")
                        .append((client + p) % 4)
                        .append(",\"portion\":")
                        .append(1.0 / parts)
                        .append('}');
            }
            long startedAt = System.nanoTime();
            queriesSent.incrementAndGet();
            HttpResponse<String> answer =
                    HTTP.send(
                            HttpRequest.newBuilder(
                                            URI.create(
                                                    "http://"
                                                            + address
                                                            + "/"
                                                            + (hold ? "hold" : "look")))
                                    .header(
                                            "Req-Id",
                                            kind.name
                                                    + "-"
                                                    + (hold ? "hold" : "look")
                                                    + client
                                                    + "-"
                                                    + i)
                                    .header("Req-Owner", "acme")
                                    .header("Req-Deadline-Ms", "" + CLIENT_DEADLINE.toMillis())
                                    .timeout(Duration.ofSeconds(10))
                                    .POST(
                                            HttpRequest.BodyPublishers.ofString(
                                                    "{\"ranges\":["
                                                            + ranges
                                                            + "],\"predicate\":\"c41e77d0\"}"))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            Duration took = Duration.ofNanos(System.nanoTime() - startedAt);
            if (took.compareTo(CLIENT_DEADLINE.plusMillis(200)) > 0) {
                observations.violations.add(
                        "an answer took " + took + ", limit " + CLIENT_DEADLINE.plusMillis(200));
            }
            boolean complete =
                    answer.statusCode() == 200 && answer.body().contains("\"total\":true");
            if (complete && answer.body().split("\"range\"").length - 1 != parts) {
                observations.violations.add(
                        "marked complete with other than " + parts + " ranges: " + answer.body());
            }
            if (complete && took.toMillis() <= 1000) {
                observations.servedInTime.get(kind.name).incrementAndGet();
            }
        }
        return null;
    }

    /** Returns the kinds that get less than 75 % of the best share; empty if there are none. */
    private static List<String> starvedKinds(Map<String, Double> shares) {
        double best = shares.values().stream().mapToDouble(share -> share).max().orElse(0);
        return shares.entrySet().stream()
                .filter(e -> e.getValue() < 0.75 * best)
                .map(Map.Entry::getKey)
                .toList();
    }

    @Test
    void routersOfBothKindsKeepTheRulesAndGetSimilarShares() throws Exception {
        Observations observations = new Observations();
        Map<String, Double> shares =
                run(observations, new RouterKind("old", OLD, 4), new RouterKind("new", NEW, 4));
        assertEquals(List.of(), observations.violations);
        assertEquals(List.of(), starvedKinds(shares), shares.toString());
        assertTrue(shares.values().stream().allMatch(share -> share > 0.6), shares.toString());
    }

    @Test
    void routerThatHedgesDespiteDisabledHedgingIsDetected() throws Exception {
        Observations observations = new Observations();
        run(
                observations,
                new RouterKind("old", OLD, 4),
                new RouterKind(
                        "new", NEW.replace("\"mayDuplicate\":false", "\"mayDuplicate\":true"), 4));
        assertTrue(
                observations.violations.stream()
                        .anyMatch(text -> text.startsWith("two attempts of new")),
                observations.violations.toString());
    }

    @Test
    void routerThatMaySendNoAttemptsIsReportedAsStarved() throws Exception {
        Observations observations = new Observations();
        Map<String, Double> shares =
                run(
                        observations,
                        new RouterKind(
                                "old", OLD.replace("\"maxAttempts\":3", "\"maxAttempts\":0"), 4),
                        new RouterKind("new", NEW, 4));
        assertEquals(List.of("old"), starvedKinds(shares), shares.toString());
    }
}
