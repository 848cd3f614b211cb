package postbeam.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.api.extension.TestWatcher;
import org.junit.jupiter.api.io.TempDir;
import postbeam.testbed.fakes.FakeDiscovery;
import postbeam.testbed.fakes.ScriptedDataNode;

/**
 * Starts the built program on loopback, with stand-ins for data nodes and discovery, and speaks to
 * it.
 */
class RouterIT {
    /** Seconds after which a condition that has not come will not come. */
    private static final int LONG = 20;

    private static final InetAddress HERE = InetAddress.getLoopbackAddress();

    /** Which connection came when and what it carried is lost with the test otherwise. */
    @RegisterExtension
    final TestWatcher failureReport =
            new TestWatcher() {
                @Override
                public void testFailed(ExtensionContext test, Throwable cause) {
                    System.out.println(test.getDisplayName() + ": the node saw " + node.history());
                    System.out.println("the program said " + log);
                }
            };

    @TempDir private Path dir;
    private final List<AutoCloseable> toClose = new CopyOnWriteArrayList<>();
    private ScriptedDataNode node;
    private FakeDiscovery discovery;
    private String address;
    private Process program;
    private BlockingQueue<String> log;

    private static Thread daemon(Callable<Void> work) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                work.call();
                            } catch (Exception e) {
                                // A closed socket ends the stand-in's thread.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ---- the program

    @BeforeEach
    void standIns() throws IOException {
        node = node();
        discovery = discovery(node.hostEntry("n1", "up"));
    }

    private ScriptedDataNode node() throws IOException {
        ScriptedDataNode made = new ScriptedDataNode();
        toClose.add(made);
        return made;
    }

    private FakeDiscovery discovery(String hosts) throws IOException {
        FakeDiscovery made = new FakeDiscovery(hosts);
        toClose.add(made);
        return made;
    }

    @AfterEach
    void giveBack() throws Exception {
        if (program != null) {
            program.destroyForcibly().waitFor();
        }
        for (AutoCloseable one : toClose) {
            one.close();
        }
    }

    private String config(String known) throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, HERE)) {
            address = "127.0.0.1:" + free.getLocalPort();
        }
        return "{\"name\":\"n0\",\"listen\":\""
                + address
                + "\",\"discovery\":\"127.0.0.1:"
                + discovery.server.getLocalPort()
                + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":"
                + known
                + ",\"settings\":{"
                + "\"zone\":\"a\",\"nInstances\":1,\"report\":{\"how\":\"none\"},\"domain\":{\"cells\":1,\"reach\":1,"
                + "\"shards\":4,\"partsACall\":16,\"classNeed\":[1.0,1.0,0.5],\"leastShare\":[1.0,1.0,0.25],"
                + "\"shortWorth\":[0,0,0.9]},\"caps\":{\"maxAttempts\":3,\"mayDuplicate\":true,\"cancelling\":true,"
                + "\"probes\":true,\"maxStreams\":32,\"connectTimeout\":250000,\"keepalive\":15000000},"
                + "\"obligations\":{\"stopSendingWithin\":2000000},\"classes\":["
                + "{\"name\":\"lookup\",\"promise\":1000000,\"deadline\":3000000,\"effect\":\"retryable\"},"
                + "{\"name\":\"hold\",\"promise\":1000000,\"effect\":\"fragile\",\"lateWorth\":0.1},"
                + "{\"name\":\"search\",\"promise\":1000000,\"deadline\":3000000,\"effect\":\"retryable\"}],"
                + "\"tenants\":[{\"name\":\"acme\",\"quotaPerS\":50}]}}";
    }

    private Process run(String config, String... more) throws IOException {
        Path file = Files.writeString(dir.resolve("config.json"), config);
        String run =
                Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                        .filter(line -> line.startsWith("run = "))
                        .findFirst()
                        .orElseThrow()
                        .split("\"", -1)[1];
        String command = more.length > 0 ? run.replaceAll("serve$", String.join(" ", more)) : run;
        // SIGHUP at its default: where a parent ignores it, as nohup does, the program would not
        // hear it.
        ProcessBuilder start =
                new ProcessBuilder("env", "--default-signal=HUP", "/bin/sh", "-c", command)
                        .redirectErrorStream(true);
        start.environment().put("BALANCER_CONFIG", file.toString());
        program = start.start();
        log = new LinkedBlockingQueue<>();
        BufferedReader out = program.inputReader();
        daemon(
                () -> {
                    String line;
                    while ((line = out.readLine()) != null) {
                        log.add(line);
                    }
                    return null;
                });
        return program;
    }

    private void serving() throws Exception {
        serving(config("null"));
    }

    private void serving(String config) throws Exception {
        run(config);
        until(
                () ->
                        program.isAlive()
                                && status("GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                                        .startsWith("200"));
    }

    private static void until(Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LONG);
        while (System.nanoTime() < end) {
            try {
                if (condition.call()) {
                    return;
                }
            } catch (IOException e) {
                // Not yet.
            }
            Thread.sleep(10);
        }
        fail("the condition did not come");
    }

    private Socket connect() throws IOException {
        int colon = address.indexOf(':');
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(HERE, Integer.parseInt(address.substring(colon + 1))));
        socket.setSoTimeout(LONG * 1000);
        toClose.add(socket);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Status, a space, the headers that matter, a space, the body. */
    private static String answer(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int c = in.read();
            if (c < 0) {
                return head.length() == 0 ? "closed" : "broken " + head;
            }
            head.append((char) c);
        }
        int length = 0;
        String retry = "";
        for (String line : head.toString().split("\r\n", -1)) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(15).trim());
            } else if (line.toLowerCase(Locale.ROOT).startsWith("retry-after:")) {
                retry = line.substring(12).trim() + " ";
            }
        }
        return head.substring(9, 12)
                + " "
                + retry
                + new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    /** The answer; a close while the request is still being sent is none of its own. */
    private String status(String request) throws IOException {
        try (Socket socket = connect()) {
            try {
                write(socket, request);
            } catch (IOException e) {
                // What counts is what can be read.
            }
            return answer(socket);
        }
    }

    private static String query(String vertical, String id, int millis, int... shards) {
        StringBuilder ranges = new StringBuilder();
        for (int shard : shards) {
            ranges.append(ranges.length() == 0 ? "" : ",")
                    .append("{\"range\":")
                    .append(shard)
                    .append(",\"portion\":")
                    .append(1.0 / shards.length)
                    .append('}');
        }
        return post(
                "/" + vertical + "?obj=7f",
                "Req-Id: " + id + "\r\nReq-Owner: acme\r\nReq-Deadline-Ms: " + millis + "\r\n",
                "{\"ranges\":[" + ranges + "],\"predicate\":\"c41e77d0\"}");
    }

    private static String post(String path, String headers, String body) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: backend.local\r\n"
                + headers
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private String frame(String start) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LONG);
        while (System.nanoTime() < end) {
            String next = node.frames.poll(1, TimeUnit.SECONDS);
            if (next != null && next.startsWith(start)) {
                return next;
            }
        }
        return fail("no frame " + start + "; the program said " + log);
    }

    // ---- queries

    @Test
    void aQueryIsAnsweredWithTheValuesAsTheNodesGaveThemAndTheConnectionIsKept() throws Exception {
        serving();
        try (Socket client = connect()) {
            write(client, query("lookup", "q1", 3000, 0, 3));
            assertEquals(
                    "200 {\"total\":true,\"answers\":[{\"range\":0,\"blob\":\"vq1.0\"},{\"range\":3,\"blob\":\"vq1.3\"}]}",
                    answer(client));
            assertEquals("m q1.0 0 c41e77d0", frame("m q1.0"));
            write(
                    client,
                    "POST /lookup HTTP/1.1\r\n"
                            + "Host: backend.local\r\n"
                            + "Req-Id: q2\r\n"
                            + "Req-Owner: acme\r\n"
                            + "Req-Deadline-Ms: 3000\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n"
                            + "10\r\n"
                            + "{\"ranges\":[{\"ran\r\n"
                            + "25\r\n"
                            + "ge\":1,\"portion\":1}],\"predicate\":\"ab\"}\r\n"
                            + "0\r\n\r\n");
            assertEquals(
                    "200 {\"total\":true,\"answers\":[{\"range\":1,\"blob\":\"vq2.1\"}]}",
                    answer(client));
            node.mode = "twice";
            write(client, query("lookup", "q3", 3000, 2));
            assertTrue(answer(client).contains("first"));
        }
        assertEquals(1, node.sockets.size());
    }

    /** Guards against a complete mark without a part that weighs less than a rounding. */
    @Test
    void anAnswerIsCompleteOnlyWithItsLightestPart() throws Exception {
        node.mode = "silent";
        serving();
        try (Socket client = connect()) {
            write(
                    client,
                    post(
                            "/lookup?obj=7f",
                            "Req-Id: q1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 20000\r\n",
                            "{\"ranges\":[{\"range\":0,\"portion\":0.99999},"
                                    + "{\"range\":1,\"portion\":0.00001}],"
                                    + "\"predicate\":\"c41e77d0\"}"));
            frame("m q1.0");
            frame("m q1.1");
            node.send(node.sockets.get(0), "qq1.0 good 0 -\nheavy");
            client.setSoTimeout(300);
            assertThrows(SocketTimeoutException.class, () -> answer(client));
            client.setSoTimeout(LONG * 1000);
            node.send(node.sockets.get(0), "qq1.1 good 0 -\nlight");
            assertEquals(
                    "200 {\"total\":true,\"answers\":[{\"range\":0,\"blob\":\"heavy\"},"
                            + "{\"range\":1,\"blob\":\"light\"}]}",
                    answer(client));
        }
    }

    @Test
    void anyPartsThatAreEnoughMakeTheAnswerAndTheRestAreCalledOff() throws Exception {
        node.mode = "silent";
        serving();
        try (Socket client = connect()) {
            write(client, query("search", "q1", 2500, 0, 1, 2, 3));
            String first = frame("m q1.").split(" ", -1)[1];
            node.send(node.sockets.get(0), "q" + first + " good 0 -\nx");
            String answer = answer(client);
            assertTrue(answer.startsWith("200 {\"total\":false,\"answers\":[{"), answer);
        }
        frame("nq1.");
    }

    @Test
    void whatMayHaveRunAndCantRunAgainIsAborted() throws Exception {
        serving();
        for (String mode :
                new String[] {
                    "bad", "reset", "garbage", "oversized", "unusable", "stray", "endless"
                }) {
            node.mode = mode;
            long start = System.nanoTime();
            assertEquals(
                    "504", status(query("hold", "q-" + mode, 20_000, 0)).substring(0, 3), mode);
            assertTrue(System.nanoTime() - start < TimeUnit.SECONDS.toNanos(5), mode);
        }
        node.mode = "good";
        until(() -> status(query("lookup", "q" + System.nanoTime(), 3000, 0)).startsWith("200"));
    }

    /**
     * A spoilt answer ends the calls that share its connection, once each, and nothing more is sent
     * on it.
     */
    @Test
    void aSpoiltAnswerEndsAllThatSharesItsConnection() throws Exception {
        serving();
        node.mode = "silent";
        try (Socket other = connect();
                Socket client = connect()) {
            write(other, query("hold", "q1", 20_000, 0));
            frame("m q1.0");
            write(client, query("lookup", "q2", 20_000, 1));
            frame("m q2.1");
            node.mode = "good";
            node.send(node.sockets.get(0), "qq2.1 fine 0 -\nx");
            assertEquals("504", answer(other).substring(0, 3));
            assertEquals(
                    "200 {\"total\":true,\"answers\":[{\"range\":1,\"blob\":\"vq2.1\"}]}",
                    answer(client));
        }
        assertEquals(2, node.sockets.size());
    }

    @Test
    void aGoodAnswerWithMoreThanBelongsToItIsGood() throws Exception {
        serving();
        node.mode = "noisy";
        for (int i = 0; i < 5; i++) {
            assertTrue(status(query("hold", "q" + i, 3000, 0)).contains("vq" + i + ".0"));
            // The noise may come after the next call has gone out; nobody could tell then.
            Thread.sleep(50);
        }
    }

    @Test
    void whatNeverRanIsRejected() throws Exception {
        serving();
        node.mode = "later";
        assertEquals("503", status(query("hold", "q1", 1000, 0)).substring(0, 3));
        node.server.close();
        node.sockets.get(0).close();
        assertEquals("503", status(query("hold", "q2", 1000, 0)).substring(0, 3));
    }

    @Test
    void aSilentNodeCostsItsQueriesNoMoreThanTheirTime() throws Exception {
        serving();
        node.mode = "silent";
        long start = System.nanoTime();
        String answer = status(query("hold", "q1", 800, 0));
        assertEquals("504", answer.substring(0, 3));
        assertTrue(System.nanoTime() - start < TimeUnit.SECONDS.toNanos(LONG));
        assertTrue(frame("m q1.0").endsWith("c41e77d0"));
        // The connection that stayed silent is not used again, and giving its last call up closes
        // it.
        node.mode = "good";
        until(() -> status(query("lookup", "q" + System.nanoTime(), 3000, 0)).startsWith("200"));
        assertEquals(2, node.sockets.size());
        assertFalse(log.stream().anyMatch(line -> line.contains("Exception")), log.toString());
    }

    @Test
    void aClientThatLeavesHasItsPartsGivenUp() throws Exception {
        serving();
        node.mode = "silent";
        try (Socket client = connect()) {
            write(client, query("hold", "q1", 30_000, 0));
            frame("m q1.0");
        }
        assertEquals("nq1.0", frame("n"));
    }

    // ---- discovery

    @Test
    void theListIsFollowedThroughDrainMoveAndHalfAnswers() throws Exception {
        serving();
        assertEquals("200", status(query("lookup", "q1", 3000, 0)).substring(0, 3));
        ScriptedDataNode moved = node();
        discovery.tell(moved.hostEntry("n1", "up"));
        until(
                () ->
                        status(query("lookup", "q" + System.nanoTime(), 3000, 0)).startsWith("200")
                                && !moved.frames.isEmpty());
        discovery.tellHalf();
        until(() -> log.stream().anyMatch(line -> line.contains("discovery answers again")));
        assertEquals("200", status(query("lookup", "q3", 3000, 0)).substring(0, 3));
        discovery.tell(moved.hostEntry("n1", "draining"));
        until(() -> status(query("lookup", "q" + System.nanoTime(), 3000, 0)).startsWith("503"));
        discovery.tell("");
        until(() -> discovery.requestedPaths.stream().anyMatch(path -> path.contains("index=5")));
        assertEquals("503", status(query("lookup", "q4", 3000, 0)).substring(0, 3));
    }

    @Test
    void whileDiscoveryIsSilentTheListHeldLastServes() throws Exception {
        discovery.server.close();
        run(config("{\"seq\":7,\"whole\":true,\"hosts\":[" + node.hostEntry("n1", "up") + "]}"));
        until(() -> status(query("lookup", "q" + System.nanoTime(), 3000, 0)).startsWith("200"));
    }

    @Test
    void withoutAnyListItIsNotReady() throws Exception {
        discovery.server.close();
        run(config("null"));
        until(
                () ->
                        status("GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                                .startsWith("503"));
    }

    // ---- reload

    /** Whole at any time: the program may be reading it for an earlier signal. */
    private void reload(String config) throws Exception {
        Path next = Files.writeString(dir.resolve("next.json"), config);
        Files.move(next, dir.resolve("config.json"), StandardCopyOption.ATOMIC_MOVE);
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", String.valueOf(program.pid()))
                        .start()
                        .waitFor());
    }

    /**
     * Takes the log's lines up to the first one with all of these texts, so that none is counted
     * twice.
     */
    private void logged(String... texts) throws Exception {
        List<String> passed = new ArrayList<>();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LONG);
        while (true) {
            String line = log.poll(Math.max(0, end - System.nanoTime()), TimeUnit.NANOSECONDS);
            if (line == null) {
                fail(
                        "no line with "
                                + List.of(texts)
                                + "; after the last one the program said "
                                + passed);
            } else if (Stream.of(texts).allMatch(line::contains)) {
                return;
            }
            passed.add(line);
        }
    }

    @Test
    void sighupReadsTheConfigurationAgainAndDiscoveryMoves() throws Exception {
        String config = config("null");
        serving(config);
        ScriptedDataNode second = node();
        FakeDiscovery next = discovery(second.hostEntry("n2", "up"));
        String moved =
                config.replace(
                        "127.0.0.1:" + discovery.server.getLocalPort(),
                        "127.0.0.1:" + next.server.getLocalPort());
        // The connection stands before a node falls silent on it: that one comes up late is no part
        // of this.
        until(() -> status(query("lookup", "q" + System.nanoTime(), 3000, 0)).startsWith("200"));
        node.frames.clear();
        node.mode = "silent";
        try (Socket open = connect()) {
            // Longer than all waits here together.
            write(open, query("hold", "q1", 10 * LONG * 1000, 0));
            frame("m q1.0");
            for (String broken :
                    new String[] {
                        config.replace("\"cells\":1", "\"cells\":0"),
                        "{",
                        "",
                        moved.replace("\"keepalive\":15000000", "\"keepalive\":\"x\"")
                    }) {
                reload(broken);
                logged("configuration " + dir.resolve("config.json"), "what is held stays");
            }
            reload(config.replace("\"nInstances\":1", "\"nInstances\":2"));
            logged("wait for a restart: [settings.nInstances]");
            logged(
                    "1 queries and 1 attempts in flight (1 by node counters); of 1 listed nodes 0"
                            + " are ejected; on sockets: 1 calls on 1 connections");
            long start = System.nanoTime();
            reload(moved);
            until(
                    () ->
                            status(query("lookup", "q" + System.nanoTime(), 3000, 0))
                                            .startsWith("200")
                                    && !second.frames.isEmpty());
            assertTrue(System.nanoTime() - start < TimeUnit.SECONDS.toNanos(3));
            logged("configuration read again; discovery is now at " + next.address());
            // What the old one tells from now on is not heard.
            discovery.tell("");
            for (int i = 0; i < 20; i++) {
                reload(moved);
                assertEquals("200", status(query("lookup", "r" + i, 3000, 0)).substring(0, 3));
            }
            node.send(node.sockets.get(0), "qq1.0 good 0 -\nx");
            assertEquals("200", answer(open).substring(0, 3));
            reload(config);
            program.destroy();
        }
        assertTrue(program.waitFor(LONG, TimeUnit.SECONDS));
        assertEquals(0, program.exitValue());
    }

    // ---- bad input

    @Test
    void badInputOfClientsIsToldSoAndReachesNoNode() throws Exception {
        serving();
        String headers = "Req-Id: q1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 900\r\n";
        String body = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"x\"}";
        try (Socket client = connect()) {
            assertAnswer(client, "404", post("/nothing", headers, body));
            assertAnswer(client, "404", "GET / HTTP/1.1\r\nHost: backend.local\r\n\r\n");
            assertAnswer(client, "405", "GET /lookup HTTP/1.1\r\nHost: backend.local\r\n\r\n");
            for (String bad :
                    new String[] {
                        "",
                        "7",
                        body + "x",
                        body.replace("}", ""),
                        body.replace("ranges", "range"),
                        body.replace("\"range\":0", "\"range\":4"),
                        body.replace("\"range\":0", "\"range\":-1"),
                        body.replace("\"portion\":1", "\"portion\":0"),
                        body.replace("\"x\"", "7"),
                        "{\"ranges\":[]}"
                    }) {
                assertAnswer(client, "400", post("/lookup", headers, bad));
            }
            assertAnswer(
                    client, "400", post("/lookup", headers.replace("Req-Id: q1", "A: b"), body));
            assertAnswer(client, "400", post("/lookup", headers.replace("acme", "other"), body));
            assertAnswer(client, "400", post("/lookup", headers.replace("900", "soon"), body));
            assertAnswer(
                    client,
                    "400",
                    post("/hold", headers.replace("Req-Deadline-Ms: 900\r\n", ""), body));
            assertTrue(node.frames.isEmpty());
            assertAnswer(
                    client,
                    "200",
                    post("/lookup", headers.replace("Req-Deadline-Ms: 900\r\n", ""), body));
        }
        assertEquals("413", status(post("/lookup", headers, "x".repeat(70_000))).substring(0, 3));
    }

    /** What can't be read is told so, and the telling survives what the client still sends. */
    @Test
    void whatCantBeReadIsToldSoBeforeTheConnectionCloses() throws Exception {
        serving();
        String head = "Req-Id: q1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 900\r\n";
        String body = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"x\"}";
        String start = "POST /lookup HTTP/1.1\r\nHost: b\r\n" + head;
        String chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
        assertEquals(
                "4",
                status(start + "Content-Length: 99999999999999999999999\r\n\r\n" + body)
                        .substring(0, 1));
        for (String bad :
                new String[] {
                    "A: b\r\n".repeat(200_000),
                    "POST /" + "a".repeat(3_000_000),
                    start + "Content-Length: -5\r\n\r\n" + body,
                    start + "Content-Length: soon\r\n\r\n" + body,
                    start + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n" + body,
                    start
                            + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                            + post("/lookup", head, body),
                    chunked + "zz\r\nabc\r\n0\r\n\r\n",
                    chunked + "ffffffffffffffff\r\n" + body,
                    "hello\r\n\r\n",
                    post("/lookup", head + "Req-Id: q2\r\n", body),
                    post("/lookup", head + "Req-Deadline-Ms: 9\r\n", body),
                    post(
                            "/lookup",
                            head,
                            body.replace(":1}", ":0.4},{\"range\":1,\"portion\":0.4}"))
                }) {
            assertEquals(
                    "400",
                    status(bad).substring(0, 3),
                    bad.substring(0, Math.min(300, bad.length())));
        }
        String large = "x".repeat(60_000_000);
        for (String bad :
                new String[] {
                    start + "Content-Length: 60000000\r\n\r\n" + large,
                    chunked + "3938700\r\n" + large,
                    chunked
                            + ("ffff\r\n" + "x".repeat(0xffff) + "\r\n").repeat(2)
                            + "3938700\r\n"
                            + large
                }) {
            assertEquals("413", status(bad).substring(0, 3), bad.substring(0, 170));
        }
        assertTrue(node.frames.isEmpty(), node.frames.toString());
        assertFalse(log.stream().anyMatch(line -> line.contains("\tat ")), log.toString());
    }

    @Test
    void connectionsWithoutARequestAreGivenBackInTimeAndTheUsualClientsFindRoom() throws Exception {
        serving(config("null").replace("\"sockets\":1024", "\"sockets\":256"));
        List<Socket> bad = new ArrayList<>();
        long start = System.nanoTime();
        for (int i = 0; i < 300; i++) {
            bad.add(connect());
            write(
                    bad.get(i),
                    new String[] {
                                "",
                                "POST /look",
                                query("lookup", "h" + i, 900, 0).replaceAll(".$", "")
                            }
                            [i % 3]);
        }
        assertEquals("200", status(query("lookup", "q1", 3000, 0)).substring(0, 3));
        for (Socket socket : bad) {
            assertEquals("closed", answer(socket));
        }
        assertTrue(System.nanoTime() - start < TimeUnit.SECONDS.toNanos(5));
        // And those that ask once and stay.
        for (int i = 0; i < 300; i++) {
            Socket client = connect();
            assertAnswer(client, "200", query("lookup", "s" + i, 3000, 0));
        }
        until(() -> descriptors() < 60);
    }

    @Test
    void aClientThatSendsOnBeforeItsAnswerIsAnsweredAndThenCutOff() throws Exception {
        serving();
        node.mode = "silent";
        try (Socket client = connect()) {
            write(client, query("hold", "q1", 3000, 0));
            frame("m q1.0");
            write(client, query("hold", "q2", 3000, 0));
            Thread.sleep(100);
            node.send(node.sockets.get(0), "qq1.0 good 0 -\nx");
            assertEquals("200", answer(client).substring(0, 3));
            assertEquals("closed", answer(client));
        }
        assertTrue(node.frames.isEmpty(), node.frames.toString());
    }

    private static void assertAnswer(Socket client, String status, String request)
            throws IOException {
        write(client, request);
        assertEquals(status, answer(client).substring(0, 3), request);
    }

    @Test
    void aConfigurationThatIsWrongIsNamedInOneLine() throws Exception {
        run(config("null").replace("\"cells\":1", "\"cells\":\"x\""));
        assertTrue(program.waitFor(LONG, TimeUnit.SECONDS));
        assertEquals(1, program.exitValue());
        assertTrue(log.poll(LONG, TimeUnit.SECONDS).contains("settings.domain.cells"));
        assertFalse(log.stream().anyMatch(line -> line.startsWith("\tat")));
    }

    @Test
    void anAddressInUseEndsTheStart() throws Exception {
        String config = config("null");
        String taken = config.replace(address, node.dialAddress());
        run(taken);
        assertTrue(program.waitFor(LONG, TimeUnit.SECONDS));
        assertEquals(1, program.exitValue());
        assertTrue(log.poll(LONG, TimeUnit.SECONDS).contains("listen"));
    }

    @Test
    void theCommandLineExplainsItself() throws Exception {
        assertEquals(0, run("", "--help").waitFor());
        assertEquals(0, run("", "version").waitFor());
        assertTrue(log.poll(LONG, TimeUnit.SECONDS).startsWith("postbeam "));
        assertEquals(0, run("", "rehearse").waitFor());
        assertEquals(2, run("", "dance").waitFor());
        assertEquals(2, run("", "serve", "--fast").waitFor());
    }

    // ---- the end

    @Test
    void afterSigtermAllThatWasTakenIsAnsweredAndTheProgramExitsWithZero() throws Exception {
        serving();
        node.mode = "silent";
        try (Socket open = connect();
                Socket idle = connect()) {
            write(open, query("hold", "q1", 30_000, 0));
            frame("m q1.0");
            assertAnswer(idle, "404", "GET /x HTTP/1.1\r\nHost: backend.local\r\n\r\n");
            program.destroy();
            until(
                    () ->
                            status("GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                                    .startsWith("503"));
            node.mode = "good";
            assertEquals("200", status(query("lookup", "q2", 3000, 0)).substring(0, 3));
            // What replaces it may not be there yet: a client with a connection is served on.
            Thread.sleep(1000);
            assertAnswer(idle, "200", query("lookup", "q3", 3000, 0));
            assertEquals("closed", answer(idle));
            node.send(node.sockets.get(0), "qq1.0 good 0 -\nx");
            assertEquals("200", answer(open).substring(0, 3));
        }
        assertTrue(program.waitFor(LONG, TimeUnit.SECONDS));
        assertEquals(0, program.exitValue());
    }

    @Test
    void nodesThatNeverComeUpCostNoDescriptors() throws Exception {
        serving();
        try (ServerSocket full = new ServerSocket(0, 1, HERE)) {
            List<Socket> fillers = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                fillers.add(new Socket(HERE, full.getLocalPort()));
            }
            discovery.tell(
                    node.hostEntry("n1", "up")
                            .replace(node.dialAddress(), "127.0.0.1:" + full.getLocalPort()));
            until(
                    () ->
                            status(query("lookup", "q" + System.nanoTime(), 3000, 0))
                                    .startsWith("503"));
            long before = descriptors();
            for (int i = 0; i < 5; i++) {
                status(query("lookup", "r" + i, 1500, 0));
            }
            until(() -> descriptors() <= before + 1);
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }

    @Test
    void aStormOfClientsIsAnsweredWithinTheLimits() throws Exception {
        storm(192, 1024, 300);
    }

    @Test
    void aStormOfClientsIsAnsweredWithinLimitsHalfAsLarge() throws Exception {
        storm(96, 256, 90);
    }

    private void storm(int memoryMb, int sockets, int count) throws Exception {
        node.mode = "silent";
        serving(
                config("null")
                        .replace("\"memory_mb\":192", "\"memory_mb\":" + memoryMb)
                        .replace("\"sockets\":1024", "\"sockets\":" + sockets));
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Socket client = connect();
            write(client, query(i % 2 == 0 ? "hold" : "lookup", "q" + i, 2000, 0, 1, 2, 3));
            clients.add(client);
        }
        assertTrue(descriptors() < sockets);
        for (Socket client : clients) {
            String status = answer(client).substring(0, 3);
            assertTrue(status.equals("503") || status.equals("504"), status);
        }
        String memory =
                Files.readAllLines(Path.of("/proc/" + program.pid() + "/status")).stream()
                        .filter(line -> line.startsWith("VmHWM"))
                        .findFirst()
                        .orElseThrow()
                        .replaceAll("[^0-9]", "");
        System.out.println("a storm of " + count + " clients: " + memory + " KB at most");
        assertTrue(Integer.parseInt(memory) < memoryMb << 10, memory);
    }

    @Test
    void aBodyNestedTooDeepIsNoQuery() throws Exception {
        serving();
        assertEquals(
                "400",
                status(
                                post(
                                        "/lookup",
                                        "Req-Id: q1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 900\r\n",
                                        "{\"ranges\":" + "[".repeat(30_000)))
                        .substring(0, 3));
    }

    // ---- crossings: one side is held until the other has arrived

    private void signal(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, String.valueOf(program.pid()))
                        .start()
                        .waitFor());
    }

    /**
     * The router takes nothing up until it goes on; what others do in that while has come by then.
     */
    private void held() throws Exception {
        signal("STOP");
        until(
                () ->
                        Files.readString(Path.of("/proc/" + program.pid() + "/stat"))
                                .replaceAll(".*\\) ", "")
                                .startsWith("T"));
    }

    /**
     * A listener that lets nobody else in until it is emptied; the machine tries again by itself
     * after 1 s and more.
     */
    private static final class Full implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 1, HERE);
        private final List<Socket> fillers = new ArrayList<>();

        Full() throws IOException {
            for (int i = 0; i < 2; i++) {
                fillers.add(new Socket(HERE, server.getLocalPort()));
            }
        }

        /** What connects after the fillers, in whose place it comes up. */
        Socket next() throws IOException {
            server.setSoTimeout(LONG * 1000);
            for (Socket filler : fillers) {
                server.accept().close();
                filler.close();
            }
            return server.accept();
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** What comes on it first, or "" where nothing comes for the time. */
    private static String firstOn(Socket socket, int millis) throws IOException {
        socket.setSoTimeout(millis);
        byte[] some = new byte[200];
        try {
            int got = socket.getInputStream().read(some);
            return got < 0 ? "" : new String(some, 0, got, StandardCharsets.ISO_8859_1);
        } catch (java.net.SocketTimeoutException e) {
            return "";
        }
    }

    @Test
    void aQueryWhoseClientHasGoneBeforeItIsReadReachesNoNode() throws Exception {
        serving();
        for (String more : new String[] {"", "x".repeat(100_000)}) {
            held();
            try (Socket client = connect()) {
                write(client, query("lookup", "gone" + more.length(), 3000, 0, 1) + more);
            }
            try (Socket reset = connect()) {
                write(reset, query("lookup", "reset" + more.length(), 3000, 0, 1) + more);
                reset.setSoLinger(true, 0);
            }
            signal("CONT");
            assertEquals(
                    "200",
                    status(query("lookup", "after" + more.length(), 3000, 0)).substring(0, 3));
            assertFalse(
                    node.frames.stream()
                            .anyMatch(
                                    frame ->
                                            frame.startsWith("m gone")
                                                    || frame.startsWith("m reset")),
                    node.frames.toString());
        }
    }

    /**
     * Both have come when the router goes on: the connection to the node is up, and the client has
     * closed its own.
     */
    @Test
    void aCallThatWaitsForItsConnectionIsNotWrittenOnceItsClientHasGone() throws Exception {
        gone(true);
    }

    @Test
    void aCallWhoseConnectionIsUpIsNotWrittenIfItsClientHasGoneByThen() throws Exception {
        gone(false);
    }

    private void gone(boolean clientFirst) throws Exception {
        try (Full full = new Full()) {
            discovery.tell(
                    node.hostEntry("n1", "up")
                            .replace(
                                    node.dialAddress(), "127.0.0.1:" + full.server.getLocalPort()));
            serving(
                    config("null")
                            .replace("\"connectTimeout\":250000", "\"connectTimeout\":8000000"));
            Socket client = connect();
            write(client, query("lookup", "q1", 9000, 0));
            until(() -> connecting(full.server.getLocalPort()));
            held();
            if (clientFirst) {
                client.close();
            }
            try (Socket late = full.next()) {
                client.close();
                signal("CONT");
                assertEquals("", firstOn(late, 500));
            }
        }
    }

    /** Whether the program has begun to connect there, as the machine's table has it. */
    private static boolean connecting(int port) throws IOException {
        String to = String.format("0100007F:%04X 02", port);
        return Files.readAllLines(Path.of("/proc/net/tcp")).stream()
                        .anyMatch(line -> line.contains(to))
                || (Files.exists(Path.of("/proc/net/tcp6"))
                        && Files.readAllLines(Path.of("/proc/net/tcp6")).stream()
                                .anyMatch(line -> line.contains(String.format(":%04X 02", port))));
    }

    @Test
    void aCallThatWaitsForItsConnectionIsNotWrittenOnceItsNodeIsToldToDrain() throws Exception {
        try (Full full = new Full()) {
            String entry =
                    node.hostEntry("n1", "up")
                            .replace(node.dialAddress(), "127.0.0.1:" + full.server.getLocalPort());
            discovery.tell(entry);
            serving(
                    config("null")
                            .replace("\"connectTimeout\":250000", "\"connectTimeout\":8000000"));
            try (Socket client = connect()) {
                write(client, query("hold", "q1", 9000, 0));
                until(() -> connecting(full.server.getLocalPort()));
                int asked = discovery.requestedPaths.size();
                discovery.tell(entry.replace("\"up\"", "\"draining\""));
                until(() -> discovery.requestedPaths.size() > asked);
                try (Socket late = full.next()) {
                    assertEquals("", firstOn(late, 500));
                }
                // It never ran, and no other node holds the shard.
                assertEquals("503", answer(client).substring(0, 3));
            }
        }
    }

    @Test
    void aDeduplicatedPartIsNotWrittenAgainAfterItsWindowHoweverLateTheConnection()
            throws Exception {
        node.mode = "silent";
        serving(
                config("null")
                        .replace("\"connectTimeout\":250000", "\"connectTimeout\":8000000")
                        .replace(
                                "\"name\":\"lookup\",\"promise\":1000000,\"deadline\":3000000,\"effect\":\"retryable\"",
                                "\"name\":\"lookup\",\"promise\":9000000,\"deadline\":9000000,\"effect\":\"dedup\",\"repeatWindow\":600000"));
        try (Full full = new Full();
                Socket client = connect()) {
            write(client, query("lookup", "q1", 9000, 0));
            frame("m q1.0");
            int asked = discovery.requestedPaths.size();
            discovery.tell(
                    node.hostEntry("n1", "up")
                            + ","
                            + node.hostEntry("n2", "up")
                                    .replace(
                                            node.dialAddress(),
                                            "127.0.0.1:" + full.server.getLocalPort()));
            until(() -> discovery.requestedPaths.size() > asked);
            node.sockets.get(0).setSoLinger(true, 0);
            node.sockets.get(0).close();
            until(() -> connecting(full.server.getLocalPort()));
            // The machine's next try comes after the window.
            try (Socket late = full.next()) {
                assertEquals("", firstOn(late, 500));
            }
        }
    }

    /**
     * Both have come when the router goes on: its node has closed the idle connection, and a query
     * that could use it.
     */
    @Test
    void whatANodeHasClosedWhileIdleIsNotUsedAgain() throws Exception {
        serving();
        for (int i = 0; i < 5; i++) {
            assertEquals("200", status(query("hold", "a" + i, 3000, 0)).substring(0, 3));
            Socket idle = node.sockets.get(node.sockets.size() - 1);
            held();
            try (Socket client = connect()) {
                write(client, query("hold", "b" + i, 3000, 0));
                idle.close();
                signal("CONT");
                assertEquals("200", answer(client).substring(0, 3));
            }
        }
    }

    /**
     * The process stands still for longer than it may go without its list; both the list and a
     * query have come by then.
     */
    @Test
    void aRouterThatStoodStillDoesNotSendByTheListItHeldBefore() throws Exception {
        serving();
        assertEquals("200", status(query("lookup", "q0", 3000, 0)).substring(0, 3));
        for (int i = 1; i <= 3; i++) {
            discovery.tell(node.hostEntry("n1", "up"));
            until(
                    () ->
                            status(query("lookup", "q" + System.nanoTime(), 3000, 0))
                                    .startsWith("200"));
            held();
            Thread.sleep(6000);
            discovery.tell(node.hostEntry("n1", "draining"));
            try (Socket client = connect()) {
                write(client, query("hold", "stood" + i, 3000, 0));
                signal("CONT");
                assertEquals("503", answer(client).substring(0, 3));
            }
            assertFalse(
                    node.frames.stream().anyMatch(frame -> frame.startsWith("m stood")),
                    node.frames.toString());
        }
    }

    /** Its client rests on its connection and sends on; the end must not come over unread bytes. */
    @Test
    void theLastAnswerIsFollowedByAnOrderlyCloseThoughItsClientSendsOn() throws Exception {
        serving();
        node.mode = "silent";
        try (Socket client = connect()) {
            write(client, query("hold", "q1", 30_000, 0));
            frame("m q1.0");
            program.destroy();
            until(
                    () ->
                            status("GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                                    .startsWith("503"));
            until(() -> refused());
            node.send(node.sockets.get(0), "qq1.0 good 0 -\nx");
            until(() -> client.getInputStream().available() > 0);
            // A reset would end one of these.
            for (int i = 0; i < 4; i++) {
                write(client, "x".repeat(1000));
                Thread.sleep(25);
            }
            assertEquals("200", answer(client).substring(0, 3));
            assertEquals("closed", answer(client));
        }
        assertTrue(program.waitFor(LONG, TimeUnit.SECONDS));
        assertEquals(0, program.exitValue());
    }

    private boolean refused() throws IOException {
        try {
            connect().close();
            return false;
        } catch (java.net.ConnectException e) {
            return true;
        }
    }

    /**
     * The program stands in its first read of its configuration, which a pipe holds up, when the
     * signal comes.
     */
    @Test
    void aSighupBeforeThereIsARouterEndsNothingAndIsFollowedLater() throws Exception {
        String config = config("null");
        Path pipe = dir.resolve("pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        run(config, "serve", "--config", pipe.toString());
        try (var first = Files.newOutputStream(pipe)) {
            signal("HUP");
            // Long enough for a signal to end a program that does not expect it.
            assertFalse(program.waitFor(500, TimeUnit.MILLISECONDS), "ended by SIGHUP");
            // What it reads next time; what it reads now it has opened.
            Files.move(dir.resolve("config.json"), pipe, StandardCopyOption.REPLACE_EXISTING);
            first.write(config.getBytes(StandardCharsets.UTF_8));
        }
        logged("configuration read again");
        until(
                () ->
                        status("GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                                .startsWith("200"));
    }

    @Test
    void idleClientsByTheHundredKeepNoRouterFromItsList() throws Exception {
        serving(config("null").replace("\"sockets\":1024", "\"sockets\":256"));
        String config = Files.readString(dir.resolve("config.json"));
        discovery.close();
        List<Socket> idle = new CopyOnWriteArrayList<>();
        Thread crowd =
                daemon(
                        () -> {
                            while (!Thread.currentThread().isInterrupted()) {
                                idle.add(connect());
                                if (idle.size() > 300) {
                                    idle.remove(0).close();
                                }
                                Thread.sleep(2);
                            }
                            return null;
                        });
        until(() -> descriptors() > 110);
        FakeDiscovery back = discovery(node.hostEntry("n1", "draining"));
        long start = System.nanoTime();
        reload(config.replace("127.0.0.1:" + discovery.server.getLocalPort(), back.address()));
        until(() -> status(query("hold", "q" + System.nanoTime(), 900, 0)).startsWith("503"));
        assertTrue(System.nanoTime() - start < TimeUnit.SECONDS.toNanos(4));
        assertTrue(descriptors() < 256);
        crowd.interrupt();
        crowd.join();
    }

    @Test
    void withoutDiscoveryItIsReadyByTheListHeldLastWithinTenSeconds() throws Exception {
        discovery.server.close();
        run(config("{\"seq\":7,\"whole\":true,\"hosts\":[" + node.hostEntry("n1", "up") + "]}"));
        long start = System.nanoTime();
        until(
                () ->
                        status("GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                                .startsWith("200"));
        assertTrue(System.nanoTime() - start < TimeUnit.SECONDS.toNanos(10));
    }

    private long descriptors() throws IOException {
        try (var files = Files.list(Path.of("/proc/" + program.pid() + "/fd"))) {
            return files.count();
        }
    }
}
