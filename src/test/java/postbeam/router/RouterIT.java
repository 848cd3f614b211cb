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
import java.time.Duration;
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
 * Starts the packaged program on loopback, with fake data nodes and a fake discovery server, and
 * tests it over its sockets.
 */
class RouterIT {
    /** Seconds after which a condition that a test waits for counts as failed. */
    private static final int TIMEOUT_SECONDS = 20;

    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    /**
     * Prints the history of the node's connections and the program's output, which are lost
     * otherwise when a test fails.
     */
    @RegisterExtension
    final TestWatcher failureReport =
            new TestWatcher() {
                @Override
                public void testFailed(ExtensionContext test, Throwable cause) {
                    System.out.println(
                            test.getDisplayName()
                                    + ": history of the node's connections: "
                                    + node.history());
                    System.out.println("program output: " + log);
                }
            };

    @TempDir private Path dir;
    private final List<AutoCloseable> closeables = new CopyOnWriteArrayList<>();
    private ScriptedDataNode node;
    private FakeDiscovery discovery;
    private String address;
    private Process program;
    private BlockingQueue<String> log;

    private static Thread startDaemon(Callable<Void> work) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                work.call();
                            } catch (Exception e) {
                                // The test closed the socket or stream to end this thread.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ---- starting and stopping the program

    @BeforeEach
    void startFakes() throws IOException {
        node = createNode();
        discovery = createDiscovery(node.hostEntry("n1", "up"));
    }

    private ScriptedDataNode createNode() throws IOException {
        ScriptedDataNode created = new ScriptedDataNode();
        closeables.add(created);
        return created;
    }

    private FakeDiscovery createDiscovery(String hosts) throws IOException {
        FakeDiscovery created = new FakeDiscovery(hosts);
        closeables.add(created);
        return created;
    }

    @AfterEach
    void stopProgramAndCloseAll() throws Exception {
        if (program != null) {
            program.destroyForcibly().waitFor();
        }
        for (AutoCloseable closeable : closeables) {
            closeable.close();
        }
    }

    private String config(String endpointList) throws IOException {
        try (ServerSocket freePort = new ServerSocket(0, 1, LOOPBACK)) {
            address = "127.0.0.1:" + freePort.getLocalPort();
        }
        return "{\"name\":\"n0\",\"listen\":\""
                + address
                + "\",\"discovery\":\"127.0.0.1:"
                + discovery.server.getLocalPort()
                + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":"
                + endpointList
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

    private Process startProgram(String config, String... arguments) throws IOException {
        Path file = Files.writeString(dir.resolve("config.json"), config);
        String runCommand =
                Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                        .filter(line -> line.startsWith("run = "))
                        .findFirst()
                        .orElseThrow()
                        .split("\"", -1)[1];
        String command =
                arguments.length > 0
                        ? runCommand.replaceAll("serve$", String.join(" ", arguments))
                        : runCommand;
        // Resets SIGHUP to its default action: if a parent process ignores it, as nohup does, the
        // program would inherit that and never receive the signal.
        ProcessBuilder start =
                new ProcessBuilder("env", "--default-signal=HUP", "/bin/sh", "-c", command)
                        .redirectErrorStream(true);
        start.environment().put("BALANCER_CONFIG", file.toString());
        program = start.start();
        log = new LinkedBlockingQueue<>();
        BufferedReader out = program.inputReader();
        startDaemon(
                () -> {
                    String line;
                    while ((line = out.readLine()) != null) {
                        log.add(line);
                    }
                    return null;
                });
        return program;
    }

    private void startAndAwaitReady() throws Exception {
        startAndAwaitReady(config("null"));
    }

    private void startAndAwaitReady(String config) throws Exception {
        startProgram(config);
        awaitCondition(
                () ->
                        program.isAlive()
                                && exchange("GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                                        .startsWith("200"));
    }

    private static void awaitCondition(Callable<Boolean> condition) throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (System.nanoTime() < deadlineNanos) {
            try {
                if (condition.call()) {
                    return;
                }
            } catch (IOException e) {
                // The program does not accept connections yet: try again.
            }
            Thread.sleep(10);
        }
        fail("the condition was not met within " + TIMEOUT_SECONDS + " s");
    }

    private Socket connect() throws IOException {
        int colon = address.indexOf(':');
        Socket socket = new Socket();
        socket.connect(
                new InetSocketAddress(LOOPBACK, Integer.parseInt(address.substring(colon + 1))));
        socket.setSoTimeout(TIMEOUT_SECONDS * 1000);
        closeables.add(socket);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Reads a response and returns its status, the value of Retry-After if present, and its body,
     * separated by spaces. Returns "closed" if the connection closed before the first byte and
     * "broken" with the bytes so far if it closed later.
     */
    private static String readResponse(Socket socket) throws IOException {
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

    /**
     * Sends a request on a new connection and returns the response. A close by the router while the
     * request is still being written is not an error.
     */
    private String exchange(String request) throws IOException {
        try (Socket socket = connect()) {
            try {
                write(socket, request);
            } catch (IOException e) {
                // The response may still be readable.
            }
            return readResponse(socket);
        }
    }

    private static String query(String queryClass, String id, int millis, int... shards) {
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
                "/" + queryClass + "?obj=7f",
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

    /**
     * Waits for a frame at the node that starts with this prefix and returns it; m is an attempt, n
     * a cancellation.
     */
    private String awaitFrame(String prefix) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (System.nanoTime() < deadlineNanos) {
            String next = node.frames.poll(1, TimeUnit.SECONDS);
            if (next != null && next.startsWith(prefix)) {
                return next;
            }
        }
        return fail(
                "no frame " + prefix + " within " + TIMEOUT_SECONDS + " s; program output: " + log);
    }

    // ---- queries

    @Test
    void queryIsAnsweredWithNodeValuesAndConnectionStaysOpen() throws Exception {
        startAndAwaitReady();
        try (Socket client = connect()) {
            write(client, query("lookup", "q1", 3000, 0, 3));
            assertEquals(
                    "200 {\"total\":true,\"answers\":[{\"range\":0,\"blob\":\"vq1.0\"},{\"range\":3,\"blob\":\"vq1.3\"}]}",
                    readResponse(client));
            assertEquals("m q1.0 0 c41e77d0", awaitFrame("m q1.0"));
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
                    readResponse(client));
            node.mode = "twice";
            write(client, query("lookup", "q3", 3000, 2));
            assertTrue(readResponse(client).contains("first"));
        }
        assertEquals(1, node.sockets.size());
    }

    /**
     * Guards against an answer that is marked complete although a shard is missing whose weight is
     * lost in rounding.
     */
    @Test
    void answerIsCompleteOnlyOnceLightestShardIsAnswered() throws Exception {
        node.mode = "silent";
        startAndAwaitReady();
        try (Socket client = connect()) {
            write(
                    client,
                    post(
                            "/lookup?obj=7f",
                            "Req-Id: q1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 20000\r\n",
                            "{\"ranges\":[{\"range\":0,\"portion\":0.99999},"
                                    + "{\"range\":1,\"portion\":0.00001}],"
                                    + "\"predicate\":\"c41e77d0\"}"));
            awaitFrame("m q1.0");
            awaitFrame("m q1.1");
            node.send(node.sockets.get(0), "qq1.0 good 0 -\nheavy");
            client.setSoTimeout(300);
            assertThrows(SocketTimeoutException.class, () -> readResponse(client));
            client.setSoTimeout(TIMEOUT_SECONDS * 1000);
            node.send(node.sockets.get(0), "qq1.1 good 0 -\nlight");
            assertEquals(
                    "200 {\"total\":true,\"answers\":[{\"range\":0,\"blob\":\"heavy\"},"
                            + "{\"range\":1,\"blob\":\"light\"}]}",
                    readResponse(client));
        }
    }

    @Test
    void partialAnswerIsSentOnceEnoughShardsAnswerAndOtherAttemptsAreCancelled() throws Exception {
        node.mode = "silent";
        startAndAwaitReady();
        try (Socket client = connect()) {
            write(client, query("search", "q1", 2500, 0, 1, 2, 3));
            String first = awaitFrame("m q1.").split(" ", -1)[1];
            node.send(node.sockets.get(0), "q" + first + " good 0 -\nx");
            String answer = readResponse(client);
            assertTrue(answer.startsWith("200 {\"total\":false,\"answers\":[{"), answer);
        }
        awaitFrame("nq1.");
    }

    @Test
    void nonIdempotentQueryIsAbortedAfterFailedOrMalformedResponse() throws Exception {
        startAndAwaitReady();
        for (String mode :
                new String[] {
                    "bad", "reset", "garbage", "oversized", "unusable", "stray", "endless"
                }) {
            node.mode = mode;
            long startNanos = System.nanoTime();
            assertEquals(
                    "504", exchange(query("hold", "q-" + mode, 20_000, 0)).substring(0, 3), mode);
            assertTrue(System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(5), mode);
        }
        node.mode = "good";
        awaitCondition(
                () ->
                        exchange(query("lookup", "q" + System.nanoTime(), 3000, 0))
                                .startsWith("200"));
    }

    /**
     * A malformed response ends all attempts in flight on its connection, each exactly once, and no
     * further attempt is sent on that connection.
     */
    @Test
    void malformedResponseEndsAllAttemptsOnItsConnection() throws Exception {
        startAndAwaitReady();
        node.mode = "silent";
        try (Socket other = connect();
                Socket client = connect()) {
            write(other, query("hold", "q1", 20_000, 0));
            awaitFrame("m q1.0");
            write(client, query("lookup", "q2", 20_000, 1));
            awaitFrame("m q2.1");
            node.mode = "good";
            node.send(node.sockets.get(0), "qq2.1 fine 0 -\nx");
            assertEquals("504", readResponse(other).substring(0, 3));
            assertEquals(
                    "200 {\"total\":true,\"answers\":[{\"range\":1,\"blob\":\"vq2.1\"}]}",
                    readResponse(client));
        }
        assertEquals(2, node.sockets.size());
    }

    @Test
    void validResponseFollowedByExcessBytesIsAccepted() throws Exception {
        startAndAwaitReady();
        node.mode = "noisy";
        for (int i = 0; i < 5; i++) {
            assertTrue(exchange(query("hold", "q" + i, 3000, 0)).contains("vq" + i + ".0"));
            // Waits for the excess bytes: if they arrive after the next attempt was sent, they
            // can't be told apart from its response.
            Thread.sleep(50);
        }
    }

    /** First the node rejects the attempt as overloaded, then it can't be reached. */
    @Test
    void queryThatNeverRanIsRejected() throws Exception {
        startAndAwaitReady();
        node.mode = "later";
        assertEquals("503", exchange(query("hold", "q1", 1000, 0)).substring(0, 3));
        node.server.close();
        node.sockets.get(0).close();
        assertEquals("503", exchange(query("hold", "q2", 1000, 0)).substring(0, 3));
    }

    @Test
    void queryToSilentNodeIsAbortedAtItsDeadline() throws Exception {
        startAndAwaitReady();
        node.mode = "silent";
        long startNanos = System.nanoTime();
        String answer = exchange(query("hold", "q1", 800, 0));
        assertEquals("504", answer.substring(0, 3));
        assertTrue(System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS));
        assertTrue(awaitFrame("m q1.0").endsWith("c41e77d0"));
        // The silent connection is not used again, and it is closed once its last attempt is
        // abandoned.
        node.mode = "good";
        awaitCondition(
                () ->
                        exchange(query("lookup", "q" + System.nanoTime(), 3000, 0))
                                .startsWith("200"));
        assertEquals(2, node.sockets.size());
        assertFalse(log.stream().anyMatch(line -> line.contains("Exception")), log.toString());
    }

    @Test
    void clientDisconnectCancelsItsAttempts() throws Exception {
        startAndAwaitReady();
        node.mode = "silent";
        try (Socket client = connect()) {
            write(client, query("hold", "q1", 30_000, 0));
            awaitFrame("m q1.0");
        }
        assertEquals("nq1.0", awaitFrame("n"));
    }

    // ---- discovery

    @Test
    void endpointListIsFollowedThroughAddressChangeTruncatedResponseAndDrain() throws Exception {
        startAndAwaitReady();
        assertEquals("200", exchange(query("lookup", "q1", 3000, 0)).substring(0, 3));
        ScriptedDataNode newNode = createNode();
        discovery.tell(newNode.hostEntry("n1", "up"));
        awaitCondition(
                () ->
                        exchange(query("lookup", "q" + System.nanoTime(), 3000, 0))
                                        .startsWith("200")
                                && !newNode.frames.isEmpty());
        discovery.tellHalf();
        awaitCondition(
                () -> log.stream().anyMatch(line -> line.contains("discovery answers again")));
        assertEquals("200", exchange(query("lookup", "q3", 3000, 0)).substring(0, 3));
        discovery.tell(newNode.hostEntry("n1", "draining"));
        awaitCondition(
                () ->
                        exchange(query("lookup", "q" + System.nanoTime(), 3000, 0))
                                .startsWith("503"));
        discovery.tell("");
        awaitCondition(
                () -> discovery.requestedPaths.stream().anyMatch(path -> path.contains("index=5")));
        assertEquals("503", exchange(query("lookup", "q4", 3000, 0)).substring(0, 3));
    }

    @Test
    void configuredEndpointListIsUsedWhileDiscoveryIsDown() throws Exception {
        discovery.server.close();
        startProgram(
                config(
                        "{\"seq\":7,\"whole\":true,\"hosts\":["
                                + node.hostEntry("n1", "up")
                                + "]}"));
        awaitCondition(
                () ->
                        exchange(query("lookup", "q" + System.nanoTime(), 3000, 0))
                                .startsWith("200"));
    }

    @Test
    void routerWithoutEndpointListIsNotReady() throws Exception {
        discovery.server.close();
        startProgram(config("null"));
        awaitCondition(
                () ->
                        exchange("GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                                .startsWith("503"));
    }

    // ---- reload

    /**
     * Replaces the configuration file atomically, since the program may be reading it for an
     * earlier signal, and sends SIGHUP.
     */
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
     * Waits for a log line that contains all of these texts and removes the lines up to it, so that
     * no line is matched twice.
     */
    private void awaitLogLine(String... texts) throws Exception {
        List<String> skippedLines = new ArrayList<>();
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (true) {
            String line =
                    log.poll(Math.max(0, deadlineNanos - System.nanoTime()), TimeUnit.NANOSECONDS);
            if (line == null) {
                fail(
                        "no log line with "
                                + List.of(texts)
                                + "; lines since the last match: "
                                + skippedLines);
            } else if (Stream.of(texts).allMatch(line::contains)) {
                return;
            }
            skippedLines.add(line);
        }
    }

    @Test
    void sighupReloadsConfigurationAndSwitchesDiscovery() throws Exception {
        String config = config("null");
        startAndAwaitReady(config);
        ScriptedDataNode second = createNode();
        FakeDiscovery newDiscovery = createDiscovery(second.hostEntry("n2", "up"));
        String newConfig =
                config.replace(
                        "127.0.0.1:" + discovery.server.getLocalPort(),
                        "127.0.0.1:" + newDiscovery.server.getLocalPort());
        // Opens the connection to the node before the node stops responding, so that a slow connect
        // does not affect the test.
        awaitCondition(
                () ->
                        exchange(query("lookup", "q" + System.nanoTime(), 3000, 0))
                                .startsWith("200"));
        node.frames.clear();
        node.mode = "silent";
        try (Socket pendingClient = connect()) {
            // The query's deadline is longer than all waits of this test together.
            write(pendingClient, query("hold", "q1", 10 * TIMEOUT_SECONDS * 1000, 0));
            awaitFrame("m q1.0");
            for (String invalidConfig :
                    new String[] {
                        config.replace("\"cells\":1", "\"cells\":0"),
                        "{",
                        "",
                        newConfig.replace("\"keepalive\":15000000", "\"keepalive\":\"x\"")
                    }) {
                reload(invalidConfig);
                awaitLogLine("configuration " + dir.resolve("config.json"), "what is held stays");
            }
            reload(config.replace("\"nInstances\":1", "\"nInstances\":2"));
            awaitLogLine("wait for a restart: [settings.nInstances]");
            awaitLogLine(
                    "1 queries and 1 attempts in flight (1 by node counters); of 1 listed nodes 0"
                            + " are ejected; on sockets: 1 calls on 1 connections");
            long startNanos = System.nanoTime();
            reload(newConfig);
            awaitCondition(
                    () ->
                            exchange(query("lookup", "q" + System.nanoTime(), 3000, 0))
                                            .startsWith("200")
                                    && !second.frames.isEmpty());
            assertTrue(System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(3));
            awaitLogLine("configuration read again; discovery is now at " + newDiscovery.address());
            // Updates from the old discovery address are ignored from now on.
            discovery.tell("");
            for (int i = 0; i < 20; i++) {
                reload(newConfig);
                assertEquals("200", exchange(query("lookup", "r" + i, 3000, 0)).substring(0, 3));
            }
            node.send(node.sockets.get(0), "qq1.0 good 0 -\nx");
            assertEquals("200", readResponse(pendingClient).substring(0, 3));
            reload(config);
            program.destroy();
        }
        assertTrue(program.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(0, program.exitValue());
    }

    // ---- invalid input

    @Test
    void invalidClientRequestIsRejectedAndReachesNoNode() throws Exception {
        startAndAwaitReady();
        String headers = "Req-Id: q1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 900\r\n";
        String body = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"x\"}";
        try (Socket client = connect()) {
            assertAnswer(client, "404", post("/nothing", headers, body));
            assertAnswer(client, "404", "GET / HTTP/1.1\r\nHost: backend.local\r\n\r\n");
            assertAnswer(client, "405", "GET /lookup HTTP/1.1\r\nHost: backend.local\r\n\r\n");
            for (String invalidBody :
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
                        body.replace("\"x\"", "\"\\ud800\""),
                        body.replace("\"x\"", "\"x\",\"predicate\":\"y\""),
                        "{\"ranges\":[]}"
                    }) {
                assertAnswer(client, "400", post("/lookup", headers, invalidBody));
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
        assertEquals("413", exchange(post("/lookup", headers, "x".repeat(70_000))).substring(0, 3));
    }

    /**
     * A request that can't be parsed gets an error response, which the client can read even if it
     * is still sending.
     */
    @Test
    void malformedRequestGetsErrorResponseBeforeConnectionCloses() throws Exception {
        startAndAwaitReady();
        String head = "Req-Id: q1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 900\r\n";
        String body = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"x\"}";
        String requestStart = "POST /lookup HTTP/1.1\r\nHost: b\r\n" + head;
        String chunked = requestStart + "Transfer-Encoding: chunked\r\n\r\n";
        assertEquals(
                "4",
                exchange(requestStart + "Content-Length: 99999999999999999999999\r\n\r\n" + body)
                        .substring(0, 1));
        for (String invalidRequest :
                new String[] {
                    "A: b\r\n".repeat(200_000),
                    "POST /" + "a".repeat(3_000_000),
                    requestStart + "Content-Length: -5\r\n\r\n" + body,
                    requestStart + "Content-Length: soon\r\n\r\n" + body,
                    requestStart + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n" + body,
                    requestStart
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
                    exchange(invalidRequest).substring(0, 3),
                    invalidRequest.substring(0, Math.min(300, invalidRequest.length())));
        }
        String large = "x".repeat(60_000_000);
        for (String invalidRequest :
                new String[] {
                    requestStart + "Content-Length: 60000000\r\n\r\n" + large,
                    chunked + "3938700\r\n" + large,
                    chunked
                            + ("ffff\r\n" + "x".repeat(0xffff) + "\r\n").repeat(2)
                            + "3938700\r\n"
                            + large
                }) {
            assertEquals(
                    "413",
                    exchange(invalidRequest).substring(0, 3),
                    invalidRequest.substring(0, 170));
        }
        assertTrue(node.frames.isEmpty(), node.frames.toString());
        assertFalse(log.stream().anyMatch(line -> line.contains("\tat ")), log.toString());
    }

    @Test
    void connectionsWithoutCompleteRequestAreClosedAndOtherClientsAreServed() throws Exception {
        startAndAwaitReady(config("null").replace("\"sockets\":1024", "\"sockets\":256"));
        List<Socket> incompleteClients = new ArrayList<>();
        long startNanos = System.nanoTime();
        for (int i = 0; i < 300; i++) {
            incompleteClients.add(connect());
            write(
                    incompleteClients.get(i),
                    new String[] {
                                "",
                                "POST /look",
                                query("lookup", "h" + i, 900, 0).replaceAll(".$", "")
                            }
                            [i % 3]);
        }
        assertEquals("200", exchange(query("lookup", "q1", 3000, 0)).substring(0, 3));
        for (Socket socket : incompleteClients) {
            assertEquals("closed", readResponse(socket));
        }
        assertTrue(System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(5));
        // The connections that send one request and then stay open must be closed, too.
        for (int i = 0; i < 300; i++) {
            Socket client = connect();
            assertAnswer(client, "200", query("lookup", "s" + i, 3000, 0));
        }
        awaitCondition(() -> openDescriptors() < 60);
    }

    @Test
    void clientThatPipelinesARequestIsAnsweredOnceAndDisconnected() throws Exception {
        startAndAwaitReady();
        node.mode = "silent";
        try (Socket client = connect()) {
            write(client, query("hold", "q1", 3000, 0));
            awaitFrame("m q1.0");
            write(client, query("hold", "q2", 3000, 0));
            Thread.sleep(100);
            node.send(node.sockets.get(0), "qq1.0 good 0 -\nx");
            assertEquals("200", readResponse(client).substring(0, 3));
            assertEquals("closed", readResponse(client));
        }
        assertTrue(node.frames.isEmpty(), node.frames.toString());
    }

    private static void assertAnswer(Socket client, String status, String request)
            throws IOException {
        write(client, request);
        assertEquals(status, readResponse(client).substring(0, 3), request);
    }

    @Test
    void invalidSettingIsNamedInOneLogLine() throws Exception {
        startProgram(config("null").replace("\"cells\":1", "\"cells\":\"x\""));
        assertTrue(program.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(1, program.exitValue());
        assertTrue(log.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS).contains("settings.domain.cells"));
        assertFalse(log.stream().anyMatch(line -> line.startsWith("\tat")));
    }

    @Test
    void startFailsIfListenAddressIsInUse() throws Exception {
        String config = config("null");
        String addressInUseConfig = config.replace(address, node.dialAddress());
        startProgram(addressInUseConfig);
        assertTrue(program.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(1, program.exitValue());
        assertTrue(log.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS).contains("listen"));
    }

    @Test
    void commandLineReturnsExpectedExitCodes() throws Exception {
        assertEquals(0, startProgram("", "--help").waitFor());
        assertEquals(0, startProgram("", "version").waitFor());
        assertTrue(log.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS).startsWith("postbeam "));
        assertEquals(0, startProgram("", "rehearse").waitFor());
        assertEquals(2, startProgram("", "dance").waitFor());
        assertEquals(2, startProgram("", "serve", "--fast").waitFor());
    }

    // ---- shutdown and limits

    @Test
    void sigtermAnswersAcceptedQueriesAndExitsWithZero() throws Exception {
        startAndAwaitReady();
        node.mode = "silent";
        try (Socket pendingClient = connect();
                Socket idle = connect()) {
            write(pendingClient, query("hold", "q1", 30_000, 0));
            awaitFrame("m q1.0");
            assertAnswer(idle, "404", "GET /x HTTP/1.1\r\nHost: backend.local\r\n\r\n");
            program.destroy();
            awaitCondition(
                    () ->
                            exchange("GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                                    .startsWith("503"));
            node.mode = "good";
            assertEquals("200", exchange(query("lookup", "q2", 3000, 0)).substring(0, 3));
            // The successor may not be listening yet, so a connected client is still served.
            Thread.sleep(1000);
            assertAnswer(idle, "200", query("lookup", "q3", 3000, 0));
            assertEquals("closed", readResponse(idle));
            node.send(node.sockets.get(0), "qq1.0 good 0 -\nx");
            assertEquals("200", readResponse(pendingClient).substring(0, 3));
        }
        assertTrue(program.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(0, program.exitValue());
    }

    @Test
    void unreachableNodeLeaksNoDescriptors() throws Exception {
        startAndAwaitReady();
        try (ServerSocket fullServer = new ServerSocket(0, 1, LOOPBACK)) {
            List<Socket> fillers = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                fillers.add(new Socket(LOOPBACK, fullServer.getLocalPort()));
            }
            discovery.tell(
                    node.hostEntry("n1", "up")
                            .replace(node.dialAddress(), "127.0.0.1:" + fullServer.getLocalPort()));
            awaitCondition(
                    () ->
                            exchange(query("lookup", "q" + System.nanoTime(), 3000, 0))
                                    .startsWith("503"));
            long descriptorsBefore = openDescriptors();
            for (int i = 0; i < 5; i++) {
                exchange(query("lookup", "r" + i, 1500, 0));
            }
            awaitCondition(() -> openDescriptors() <= descriptorsBefore + 1);
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }

    @Test
    void manyClientsAreAnsweredWithinLimits() throws Exception {
        assertManyClientsAreAnswered(192, 1024, 300);
    }

    @Test
    void manyClientsAreAnsweredWithinReducedLimits() throws Exception {
        assertManyClientsAreAnswered(96, 256, 90);
    }

    private void assertManyClientsAreAnswered(int memoryMb, int sockets, int count)
            throws Exception {
        node.mode = "silent";
        startAndAwaitReady(
                config("null")
                        .replace("\"memory_mb\":192", "\"memory_mb\":" + memoryMb)
                        .replace("\"sockets\":1024", "\"sockets\":" + sockets));
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Socket client = connect();
            write(client, query(i % 2 == 0 ? "hold" : "lookup", "q" + i, 2000, 0, 1, 2, 3));
            clients.add(client);
        }
        assertTrue(openDescriptors() < sockets);
        for (Socket client : clients) {
            String status = readResponse(client).substring(0, 3);
            assertTrue(status.equals("503") || status.equals("504"), status);
        }
        int memoryKb = peakMemoryKb();
        System.out.println("peak memory with " + count + " clients: " + memoryKb + " KB");
        assertTrue(memoryKb < memoryMb << 10, memoryKb + " KB");
    }

    private int peakMemoryKb() throws IOException {
        return Integer.parseInt(
                Files.readAllLines(Path.of("/proc/" + program.pid() + "/status")).stream()
                        .filter(line -> line.startsWith("VmHWM"))
                        .findFirst()
                        .orElseThrow()
                        .replaceAll("[^0-9]", ""));
    }

    /** Guards against a heap that unfinished bodies and heads of many short fields use up. */
    @Test
    void unfinishedRequestsOfManyClientsLeaveMemoryForOthers() throws Exception {
        startAndAwaitReady();
        String path = "/lookup?" + numberedFields(990, "p", "&");
        String fields = numberedFields(190, "f", ":1\r\n");
        for (int wave = 0; wave < 2; wave++) {
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < 330; i++) {
                Socket client = connect();
                clients.add(client);
                String body = "x".repeat(65_400);
                String start =
                        wave == 0
                                ? post("/lookup", "Cookie: " + "y".repeat(7_600) + "\r\n", body)
                                : post(path, fields, "ab");
                writeUnlessClosed(client, start.substring(0, start.length() - 1));
            }
            assertEquals("200", exchange(query("lookup", "u" + wave, 3000, 0)).substring(0, 3));
            for (Socket client : clients) {
                client.close();
            }
        }
        assertEquals(
                "200",
                exchange("GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n").substring(0, 3));
        assertTrue(peakMemoryKb() < 192 << 10, "peak memory " + peakMemoryKb() + " KB");
    }

    private static String numberedFields(int count, String name, String end) {
        StringBuilder fields = new StringBuilder();
        for (int i = 0; i < count; i++) {
            fields.append(name).append(i).append(end);
        }
        return fields.toString();
    }

    private static void writeUnlessClosed(Socket socket, String text) {
        try {
            write(socket, text);
        } catch (IOException e) {
            // The router has refused the request and closed the connection.
        }
    }

    @Test
    void deeplyNestedBodyIsRejected() throws Exception {
        startAndAwaitReady();
        assertEquals(
                "400",
                exchange(
                                post(
                                        "/lookup",
                                        "Req-Id: q1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 900\r\n",
                                        "{\"ranges\":" + "[".repeat(30_000)))
                        .substring(0, 3));
    }

    // ---- race conditions: the program is suspended until both events have happened

    private void sendSignal(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, String.valueOf(program.pid()))
                        .start()
                        .waitFor());
    }

    /**
     * Stops the program with SIGSTOP until SIGCONT is sent. Events that happen meanwhile are all
     * pending when it resumes.
     */
    private void suspendProgram() throws Exception {
        sendSignal("STOP");
        awaitCondition(
                () ->
                        Files.readString(Path.of("/proc/" + program.pid() + "/stat"))
                                .replaceAll(".*\\) ", "")
                                .startsWith("T"));
    }

    /**
     * A listening socket whose backlog is full: a further connection is not established until
     * {@link #acceptAfterFillers} empties the backlog. The kernel retries a pending connect after 1
     * s or more.
     */
    private static final class FullBacklogServer implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 1, LOOPBACK);
        private final List<Socket> fillers = new ArrayList<>();

        FullBacklogServer() throws IOException {
            for (int i = 0; i < 2; i++) {
                fillers.add(new Socket(LOOPBACK, server.getLocalPort()));
            }
        }

        /**
         * Accepts and closes the connections that fill the backlog, then returns the next
         * connection.
         */
        Socket acceptAfterFillers() throws IOException {
            server.setSoTimeout(TIMEOUT_SECONDS * 1000);
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

    /** Returns the first bytes that arrive on the socket, or "" if none arrive within this time. */
    private static String readFirstBytes(Socket socket, int millis) throws IOException {
        socket.setSoTimeout(millis);
        byte[] buffer = new byte[200];
        try {
            int count = socket.getInputStream().read(buffer);
            return count < 0 ? "" : new String(buffer, 0, count, StandardCharsets.ISO_8859_1);
        } catch (java.net.SocketTimeoutException e) {
            return "";
        }
    }

    @Test
    void queryIsNotSentIfClientDisconnectsBeforeItIsRead() throws Exception {
        startAndAwaitReady();
        for (String trailingBytes : new String[] {"", "x".repeat(100_000)}) {
            suspendProgram();
            try (Socket client = connect()) {
                write(
                        client,
                        query("lookup", "gone" + trailingBytes.length(), 3000, 0, 1)
                                + trailingBytes);
            }
            try (Socket reset = connect()) {
                write(
                        reset,
                        query("lookup", "reset" + trailingBytes.length(), 3000, 0, 1)
                                + trailingBytes);
                reset.setSoLinger(true, 0);
            }
            sendSignal("CONT");
            assertEquals(
                    "200",
                    exchange(query("lookup", "after" + trailingBytes.length(), 3000, 0))
                            .substring(0, 3));
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
     * When the program resumes, both events are pending: the connection to the node is established
     * and the client has closed its connection.
     */
    @Test
    void attemptIsNotSentIfClientDisconnectsBeforeNodeConnectionOpens() throws Exception {
        assertNotSentAfterClientDisconnects(true);
    }

    @Test
    void attemptIsNotSentIfClientDisconnectsAfterNodeConnectionOpens() throws Exception {
        assertNotSentAfterClientDisconnects(false);
    }

    private void assertNotSentAfterClientDisconnects(boolean disconnectBeforeConnectionOpens)
            throws Exception {
        try (FullBacklogServer fullServer = new FullBacklogServer()) {
            discovery.tell(
                    node.hostEntry("n1", "up")
                            .replace(
                                    node.dialAddress(),
                                    "127.0.0.1:" + fullServer.server.getLocalPort()));
            startAndAwaitReady(
                    config("null")
                            .replace("\"connectTimeout\":250000", "\"connectTimeout\":8000000"));
            Socket client = connect();
            write(client, query("lookup", "q1", 9000, 0));
            awaitCondition(() -> isConnecting(fullServer.server.getLocalPort()));
            suspendProgram();
            if (disconnectBeforeConnectionOpens) {
                client.close();
            }
            try (Socket lateConnection = fullServer.acceptAfterFillers()) {
                client.close();
                sendSignal("CONT");
                assertEquals("", readFirstBytes(lateConnection, 500));
            }
        }
    }

    /**
     * Whether a connect to this port of 127.0.0.1 is pending: the kernel's table of TCP sockets has
     * an entry in state 02 (SYN_SENT) for it. Addresses are written there in hexadecimal digits,
     * with the bytes of the address reversed.
     */
    private static boolean isConnecting(int port) throws IOException {
        String synSentEntry = String.format("0100007F:%04X 02", port);
        return Files.readAllLines(Path.of("/proc/net/tcp")).stream()
                        .anyMatch(line -> line.contains(synSentEntry))
                || (Files.exists(Path.of("/proc/net/tcp6"))
                        && Files.readAllLines(Path.of("/proc/net/tcp6")).stream()
                                .anyMatch(line -> line.contains(String.format(":%04X 02", port))));
    }

    @Test
    void attemptIsNotSentIfNodeDrainsBeforeItsConnectionOpens() throws Exception {
        try (FullBacklogServer fullServer = new FullBacklogServer()) {
            String entry =
                    node.hostEntry("n1", "up")
                            .replace(
                                    node.dialAddress(),
                                    "127.0.0.1:" + fullServer.server.getLocalPort());
            discovery.tell(entry);
            startAndAwaitReady(
                    config("null")
                            .replace("\"connectTimeout\":250000", "\"connectTimeout\":8000000"));
            try (Socket client = connect()) {
                write(client, query("hold", "q1", 9000, 0));
                awaitCondition(() -> isConnecting(fullServer.server.getLocalPort()));
                int requestCount = discovery.requestedPaths.size();
                discovery.tell(entry.replace("\"up\"", "\"draining\""));
                awaitCondition(() -> discovery.requestedPaths.size() > requestCount);
                try (Socket lateConnection = fullServer.acceptAfterFillers()) {
                    assertEquals("", readFirstBytes(lateConnection, 500));
                }
                // The attempt never ran and no other node holds the shard, so the query is
                // rejected.
                assertEquals("503", readResponse(client).substring(0, 3));
            }
        }
    }

    @Test
    void deduplicatedRetryIsNotSentIfConnectionOpensAfterRepeatWindow() throws Exception {
        node.mode = "silent";
        startAndAwaitReady(
                config("null")
                        .replace("\"connectTimeout\":250000", "\"connectTimeout\":8000000")
                        .replace(
                                "\"name\":\"lookup\",\"promise\":1000000,\"deadline\":3000000,\"effect\":\"retryable\"",
                                "\"name\":\"lookup\",\"promise\":9000000,\"deadline\":9000000,\"effect\":\"dedup\",\"repeatWindow\":600000"));
        try (FullBacklogServer fullServer = new FullBacklogServer();
                Socket client = connect()) {
            write(client, query("lookup", "q1", 9000, 0));
            awaitFrame("m q1.0");
            int requestCount = discovery.requestedPaths.size();
            discovery.tell(
                    node.hostEntry("n1", "up")
                            + ","
                            + node.hostEntry("n2", "up")
                                    .replace(
                                            node.dialAddress(),
                                            "127.0.0.1:" + fullServer.server.getLocalPort()));
            awaitCondition(() -> discovery.requestedPaths.size() > requestCount);
            node.sockets.get(0).setSoLinger(true, 0);
            node.sockets.get(0).close();
            awaitCondition(() -> isConnecting(fullServer.server.getLocalPort()));
            // The kernel's next connect attempt comes after the repeat window.
            try (Socket lateConnection = fullServer.acceptAfterFillers()) {
                assertEquals("", readFirstBytes(lateConnection, 500));
            }
        }
    }

    /**
     * When the program resumes, both events are pending: the node has closed the idle connection,
     * and a query has arrived that could use it.
     */
    @Test
    void idleConnectionClosedByNodeIsNotReused() throws Exception {
        startAndAwaitReady();
        for (int i = 0; i < 5; i++) {
            assertEquals("200", exchange(query("hold", "a" + i, 3000, 0)).substring(0, 3));
            Socket idle = node.sockets.get(node.sockets.size() - 1);
            suspendProgram();
            try (Socket client = connect()) {
                write(client, query("hold", "b" + i, 3000, 0));
                idle.close();
                sendSignal("CONT");
                assertEquals("200", readResponse(client).substring(0, 3));
            }
        }
    }

    /**
     * The program is suspended for longer than an endpoint list may be used without a poll. When it
     * resumes, a changed list and a query are both pending.
     */
    @Test
    void resumedRouterDoesNotRouteByStaleEndpointList() throws Exception {
        startAndAwaitReady();
        assertEquals("200", exchange(query("lookup", "q0", 3000, 0)).substring(0, 3));
        for (int i = 1; i <= 3; i++) {
            discovery.tell(node.hostEntry("n1", "up"));
            awaitCondition(
                    () ->
                            exchange(query("lookup", "q" + System.nanoTime(), 3000, 0))
                                    .startsWith("200"));
            suspendProgram();
            Thread.sleep(6000);
            discovery.tell(node.hostEntry("n1", "draining"));
            assertQueryIsRejectedOnResume("resumed" + i);
        }
    }

    /** Resumes the program while a query is pending whose only node has begun to drain. */
    private void assertQueryIsRejectedOnResume(String queryId) throws Exception {
        try (Socket client = connect()) {
            write(client, query("hold", queryId, 3000, 0));
            sendSignal("CONT");
            assertEquals("503", readResponse(client).substring(0, 3));
        }
        assertFalse(
                node.frames.stream().anyMatch(frame -> frame.startsWith("m " + queryId)),
                node.frames.toString());
    }

    /**
     * The response to a poll sent before the suspension ended the wait for a recent list: it stood
     * in the socket's buffer, with the list of that time.
     */
    @Test
    void resumedRouterAwaitsResponseToPollSentAfterSuspension() throws Exception {
        startAndAwaitReady();
        assertEquals("200", exchange(query("lookup", "q0", 3000, 0)).substring(0, 3));
        suspendProgram();
        Thread.sleep(6000);
        discovery.tell(node.hostEntry("n1", "draining"));
        discovery.delayResponses(Duration.ofMillis(150));
        assertQueryIsRejectedOnResume("resumed");
    }

    /** A router that resumes beside an unchanged list need not wait for a change of it. */
    @Test
    void resumedRouterAnswersSoonIfListIsUnchanged() throws Exception {
        startAndAwaitReady();
        assertEquals("200", exchange(query("lookup", "q0", 3000, 0)).substring(0, 3));
        suspendProgram();
        Thread.sleep(6000);
        try (Socket client = connect()) {
            write(client, query("hold", "resumed", 3000, 0));
            sendSignal("CONT");
            long resumedNanos = System.nanoTime();
            assertEquals("200", readResponse(client).substring(0, 3));
            Duration wait = Duration.ofNanos(System.nanoTime() - resumedNanos);
            assertTrue(wait.compareTo(Duration.ofMillis(500)) < 0, wait.toString());
        }
    }

    /**
     * The client keeps sending on its connection. A close over unread bytes would be a reset, which
     * could discard the answer.
     */
    @Test
    void lastAnswerIsFollowedByOrderlyCloseWhileClientKeepsSending() throws Exception {
        startAndAwaitReady();
        node.mode = "silent";
        try (Socket client = connect()) {
            write(client, query("hold", "q1", 30_000, 0));
            awaitFrame("m q1.0");
            program.destroy();
            awaitCondition(
                    () ->
                            exchange("GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                                    .startsWith("503"));
            awaitCondition(() -> isConnectionRefused());
            node.send(node.sockets.get(0), "qq1.0 good 0 -\nx");
            awaitCondition(() -> client.getInputStream().available() > 0);
            // After a reset by the router, one of these writes would fail.
            for (int i = 0; i < 4; i++) {
                write(client, "x".repeat(1000));
                Thread.sleep(25);
            }
            assertEquals("200", readResponse(client).substring(0, 3));
            assertEquals("closed", readResponse(client));
        }
        assertTrue(program.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(0, program.exitValue());
    }

    private boolean isConnectionRefused() throws IOException {
        try {
            connect().close();
            return false;
        } catch (java.net.ConnectException e) {
            return true;
        }
    }

    /**
     * The signal arrives while the program is reading its configuration at the start, which a named
     * pipe delays.
     */
    @Test
    void sighupDuringStartReloadsConfigurationAfterStart() throws Exception {
        String config = config("null");
        Path pipe = dir.resolve("pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        startProgram(config, "serve", "--config", pipe.toString());
        try (var pipeOutput = Files.newOutputStream(pipe)) {
            sendSignal("HUP");
            // This pause is long enough for the signal to end a program that has no handler for it.
            assertFalse(program.waitFor(500, TimeUnit.MILLISECONDS), "ended by SIGHUP");
            // Replaces the pipe by a file for the next read; the program has already opened the
            // pipe for this one.
            Files.move(dir.resolve("config.json"), pipe, StandardCopyOption.REPLACE_EXISTING);
            pipeOutput.write(config.getBytes(StandardCharsets.UTF_8));
        }
        awaitLogLine("configuration read again");
        awaitCondition(
                () ->
                        exchange("GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                                .startsWith("200"));
    }

    @Test
    void manyIdleClientsDoNotDelayDiscoveryUpdates() throws Exception {
        startAndAwaitReady(config("null").replace("\"sockets\":1024", "\"sockets\":256"));
        String config = Files.readString(dir.resolve("config.json"));
        discovery.close();
        List<Socket> idle = new CopyOnWriteArrayList<>();
        Thread clientThread =
                startDaemon(
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
        awaitCondition(() -> openDescriptors() > 110);
        FakeDiscovery restartedDiscovery = createDiscovery(node.hostEntry("n1", "draining"));
        long startNanos = System.nanoTime();
        reload(
                config.replace(
                        "127.0.0.1:" + discovery.server.getLocalPort(),
                        restartedDiscovery.address()));
        awaitCondition(
                () -> exchange(query("hold", "q" + System.nanoTime(), 900, 0)).startsWith("503"));
        assertTrue(System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(4));
        assertTrue(openDescriptors() < 256);
        clientThread.interrupt();
        clientThread.join();
    }

    @Test
    void routerWithConfiguredEndpointListIsReadyWithinTenSeconds() throws Exception {
        discovery.server.close();
        startProgram(
                config(
                        "{\"seq\":7,\"whole\":true,\"hosts\":["
                                + node.hostEntry("n1", "up")
                                + "]}"));
        long startNanos = System.nanoTime();
        awaitCondition(
                () ->
                        exchange("GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                                .startsWith("200"));
        assertTrue(System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(10));
    }

    private long openDescriptors() throws IOException {
        try (var files = Files.list(Path.of("/proc/" + program.pid() + "/fd"))) {
            return files.count();
        }
    }
}
