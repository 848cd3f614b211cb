package postbeam.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import postbeam.endpoints.EndpointUpdate;
import postbeam.endpoints.PollTimings;

/**
 * Tests the watcher against a server on loopback with scripted responses. The body of a list is
 * only its version.
 */
@Timeout(60)
class LongPollWatcherTest {
    /**
     * Time limit of a test: longer than the deadlines under test and shorter than a request without
     * these deadlines, which would take 22 s or never end.
     */
    private static final long TIMEOUT_SECONDS = 10;

    /** Distinguishes a long poll from a request for changes that is answered at once. */
    private static final String LONG_POLL_WAIT = "wait=1000";

    /** Writes the response to a request. */
    private interface Responder {
        void respond(String path, OutputStream out) throws Exception;
    }

    private ServerSocket server;
    private Thread acceptThread;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
    private final BlockingQueue<Long> updates = new LinkedBlockingQueue<>();
    private volatile Responder responder;
    private LongPollWatcher<Long> watcher;

    @BeforeEach
    void setUp() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        acceptThread =
                startDaemonThread(
                        () -> {
                            while (true) {
                                Socket socket = server.accept();
                                sockets.add(socket);
                                startDaemonThread(() -> serve(socket));
                            }
                        });
        watcher = createWatcher(server.getLocalPort());
    }

    private LongPollWatcher<Long> createWatcher(int port) {
        return new LongPollWatcher<>(
                new LongPollWatcher.Source("discovery", "127.0.0.1:" + port, "/v1/servers", 1000),
                body -> parseVersion(new String(body.readAllBytes(), StandardCharsets.UTF_8)),
                version -> version,
                updates::add,
                PollTimings.LOCAL_AGENT);
    }

    private static long parseVersion(String body) throws IOException {
        try {
            return Long.parseLong(body);
        } catch (NumberFormatException e) {
            throw new IOException("the body is not a version");
        }
    }

    private interface Task {
        void run() throws Exception;
    }

    private static Thread startDaemonThread(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                // The client or the test has closed the socket.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            String line;
            while ((line = in.readLine()) != null) {
                String path = line.split(" ", -1)[1];
                while (!in.readLine().isEmpty()) {
                    // The headers are not checked.
                }
                requests.add(path);
                responder.respond(path, socket.getOutputStream());
            }
        }
    }

    private static String lines(String... lines) {
        return String.join("\r\n", lines);
    }

    private static void send(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static void respond(OutputStream out, String body) throws IOException {
        send(out, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Leaves a request without a response for longer than the test lasts. */
    private static void staySilent() throws InterruptedException {
        Thread.sleep(Duration.ofMinutes(2).toMillis());
    }

    private void startWatching() {
        startDaemonThread(watcher::run);
    }

    private Long nextUpdate() throws InterruptedException {
        return updates.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @AfterEach
    void tearDown() throws IOException {
        watcher.stop();
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /**
     * Uses the responder for the first request. Later fetches receive version 8, and long polls no
     * response.
     */
    private void respondOnceThenNormally(Responder first) {
        responder =
                (path, out) -> {
                    if (requests.size() == 1) {
                        first.respond(path, out);
                    } else if (path.contains("index")) {
                        staySilent();
                    } else {
                        respond(out, "8");
                    }
                };
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200 OK\r\nContent-",
                "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n12",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n12"
            })
    void tricklingResponseTimesOutAndTheListIsFetchedAgain(String start) throws Exception {
        respondOnceThenNormally(
                (path, out) -> {
                    send(out, start);
                    while (true) {
                        Thread.sleep(100);
                        send(out, start.isEmpty() ? "H" : "1");
                    }
                });
        startWatching();
        assertEquals(8L, nextUpdate());
        assertEquals("/v1/servers", requests.poll());
        assertEquals("/v1/servers", requests.poll());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200 OK\r\nContent-",
                "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n12"
            })
    void silentResponseTimesOutAndTheListIsFetchedAgain(String start) throws Exception {
        respondOnceThenNormally(
                (path, out) -> {
                    send(out, start);
                    staySilent();
                });
        startWatching();
        assertEquals(8L, nextUpdate());
    }

    /**
     * With the timings for a local agent, where a request costs little, the watcher asks again soon
     * enough to notice nodes that start to drain.
     */
    @Test
    void silentLongPollTimesOutAndChangesAreRequestedOnANewConnection() throws Exception {
        responder =
                (path, out) -> {
                    if (path.contains(LONG_POLL_WAIT)) {
                        staySilent();
                    }
                    respond(out, String.valueOf(requests.size()));
                };
        startWatching();
        assertEquals(1L, nextUpdate());
        assertEquals(3L, nextUpdate());
        assertTrue(sockets.size() >= 2);
    }

    /** The timeout for the rest of a response is shorter than the long poll's wait. */
    @Test
    void longPollStalledWithinResponseTimesOutBeforeItsWaitEnds() throws Exception {
        responder =
                (path, out) -> {
                    if (path.contains(LONG_POLL_WAIT)) {
                        send(out, "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n12");
                        staySilent();
                    }
                    respond(out, String.valueOf(requests.size()));
                };
        startWatching();
        assertEquals(1L, nextUpdate());
        assertEquals(3L, nextUpdate());
    }

    /** Each broken long poll cost a whole list: 390 KB at each router of a large fleet. */
    @Test
    void brokenLongPollsDoNotFetchTheListAgain() throws Exception {
        responder =
                (path, out) -> {
                    if (path.contains(LONG_POLL_WAIT)) {
                        out.close();
                    }
                    respond(out, String.valueOf(requests.size()));
                };
        startWatching();
        assertEquals(1L, nextUpdate());
        assertEquals(3L, nextUpdate());
        assertEquals(5L, nextUpdate());
        assertEquals(7L, nextUpdate());
        assertEquals("/v1/servers", requests.poll());
        assertEquals("/v1/servers?index=1&wait=1000", requests.poll());
        assertEquals("/v1/servers?index=1&wait=1", requests.poll());
        assertEquals("/v1/servers?index=3&wait=1000", requests.poll());
        assertEquals("/v1/servers?index=3&wait=1", requests.poll());
        assertEquals("/v1/servers?index=5&wait=1000", requests.poll());
        assertEquals("/v1/servers?index=5&wait=1", requests.poll());
    }

    @Test
    void listIsFetchedAgainWhereRequestsForChangesGetNoResponse() throws Exception {
        responder =
                (path, out) -> {
                    if (path.contains("index")) {
                        staySilent();
                    }
                    respond(out, String.valueOf(requests.size()));
                };
        startWatching();
        assertEquals(1L, nextUpdate());
        assertEquals(6L, nextUpdate());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nnoise",
                "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n",
                "noise\r\n",
                "\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                "HTTP/1.1\r\n\r\n"
            })
    void malformedResponseIsRejectedAndTheListIsFetchedAgain(String malformed) throws Exception {
        respondOnceThenNormally((path, out) -> send(out, malformed));
        startWatching();
        assertEquals(8L, nextUpdate());
    }

    /** The response starts in time and each read returns bytes, so no timeout ends it. */
    @ParameterizedTest
    @ValueSource(strings = {"a", "a: b\r\n", "\r\n"})
    void endlessHeadIsRejected(String more) throws Exception {
        respondOnceThenNormally(
                (path, out) -> {
                    send(out, "HTTP/1.1 200 OK\r\n");
                    while (true) {
                        send(out, more.repeat(1000));
                    }
                });
        startWatching();
        assertEquals(8L, nextUpdate());
    }

    /**
     * Without a pause between requests the watcher would send thousands of requests in one second.
     * A slow machine only sends fewer, so it can't fail the test.
     */
    @ParameterizedTest
    @ValueSource(strings = {"7", "-1"})
    void immediateUnchangedResponsesArePolledWithBackoff(String version) throws Exception {
        responder = (path, out) -> respond(out, version);
        startWatching();
        assertEquals("/v1/servers", requests.take());
        Thread.sleep(1000);
        assertTrue(requests.size() <= 20, requests.size() + " requests in a second");
    }

    /** A list over the limit was fetched ten times a second for as long as it stayed so. */
    @Test
    void listThatStaysUnusableIsFetchedLessAndLessOften() throws Exception {
        responder = (path, out) -> send(out, "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n");
        startWatching();
        assertEquals("/v1/servers", requests.take());
        Thread.sleep(3000);
        assertTrue(requests.size() <= 6, requests.size() + " further requests in 3 s");
        responder = (path, out) -> respond(out, "8");
        assertEquals(8L, nextUpdate());
    }

    @Test
    void changesOfOlderVersionAreRejectedAndTheListIsFetchedAgain() throws Exception {
        responder =
                (path, out) -> {
                    if (path.contains("index=30")) {
                        staySilent();
                    }
                    respond(out, requests.size() == 1 ? "41" : requests.size() == 2 ? "29" : "30");
                };
        startWatching();
        assertEquals(41L, nextUpdate());
        assertEquals(30L, nextUpdate());
        assertEquals("/v1/servers", requests.poll());
        assertTrue(requests.poll().startsWith("/v1/servers?index=41&"));
        assertEquals("/v1/servers", requests.poll());
    }

    /** The list has 200 nodes and the 100 that they replace, with one JSON value on each line. */
    @Test
    void indentedListOfLargeClusterDuringRolloutIsDecoded() throws Exception {
        assertListDecoded(
                200,
                100,
                """
                {
                    "host": "s-%08x",
                    "dial": "10.1.0.18:7070",
                    "site": "tbilisi-vake",
                    "class": "std-2core",
                    "block": 3,
                    "health": "%s",
                    "share": 1.0,
                    "born_ms": 1764633600000
                }\
                """);
    }

    /** Lists of large fleets were rejected as too long, so that no drain was ever noticed. */
    @Test
    void indentedListOfLargestFleetDuringRolloutIsDecoded() throws Exception {
        assertListDecoded(
                3200,
                3200,
                """
                {
                    "host": "node-in-a-zone-with-a-long-name-%08x",
                    "dial": "255.255.255.255:65535",
                    "site": "tbilisi-vake-saburtalo",
                    "class": "standard-16-cores",
                    "block": 8,
                    "health": "%s",
                    "share": 0.33333333333333331,
                    "born_ms": 1764633600000
                }\
                """);
    }

    /** Short entries of a list within its limit in bytes would use up the heap. */
    @Test
    void listWithMoreEntriesThanTheLargestFleetIsRejected() throws Exception {
        String entry = "{\"host\":\"%d\",\"health\":\"removed\"}";
        String list =
                "{\"seq\":41,\"whole\":true,\"hosts\":["
                        + IntStream.range(0, 6_401)
                                .mapToObj(entry::formatted)
                                .collect(Collectors.joining(","))
                        + "]}";
        responder = (path, out) -> respond(out, list);
        assertEquals("hosts has more than 6400 entries", firstRejection(update -> {}));
    }

    /** The health page said "null" of a rejection for an exception without a message. */
    @Test
    void rejectionForUncheckedExceptionNamesItsType() throws Exception {
        responder = (path, out) -> respond(out, "{\"seq\":41,\"whole\":true,\"hosts\":[]}");
        assertEquals(
                "java.lang.IllegalStateException",
                firstRejection(
                        update -> {
                            throw new IllegalStateException();
                        }));
    }

    /**
     * Returns the reason of the first rejection by a watcher of the endpoint list.
     *
     * @param onUpdate receives the updates, and may throw
     */
    private String firstRejection(Consumer<EndpointUpdate> onUpdate) throws InterruptedException {
        BlockingQueue<String> rejections = new LinkedBlockingQueue<>();
        PollListener listener =
                new PollListener() {
                    @Override
                    public void onResponse() {}

                    @Override
                    public void onNoResponse() {}

                    @Override
                    public void onRejectedResponse(String reason) {
                        rejections.add(reason);
                    }
                };
        LongPollWatcher<EndpointUpdate> listWatcher =
                EndpointListWatch.create(
                        "127.0.0.1:" + server.getLocalPort(),
                        9,
                        onUpdate,
                        PollTimings.LOCAL_AGENT,
                        listener);
        startDaemonThread(listWatcher::run);
        String reason = rejections.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        listWatcher.stop();
        return reason;
    }

    /**
     * Asserts that the watcher delivers all entries of an indented list.
     *
     * @param entry one entry, with the host's number and health to be filled in
     */
    private void assertListDecoded(int nodes, int drainingNodes, String entry) throws Exception {
        String list =
                "{\n    \"seq\": 41,\n    \"whole\": true,\n    \"hosts\": [\n"
                        + IntStream.range(0, nodes + drainingNodes)
                                .mapToObj(
                                        i ->
                                                entry.formatted(i, i < nodes ? "up" : "draining")
                                                        .indent(8)
                                                        .stripTrailing())
                                .collect(Collectors.joining(",\n"))
                        + "\n    ]\n}\n";
        responder =
                (path, out) -> {
                    if (path.contains("index")) {
                        staySilent();
                    }
                    respond(out, list);
                };
        BlockingQueue<EndpointUpdate> lists = new LinkedBlockingQueue<>();
        LongPollWatcher<EndpointUpdate> listWatcher =
                EndpointListWatch.create(
                        "127.0.0.1:" + server.getLocalPort(),
                        9,
                        lists::add,
                        PollTimings.LOCAL_AGENT);
        startDaemonThread(listWatcher::run);
        EndpointUpdate update = lists.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        listWatcher.stop();
        assertEquals(
                nodes + drainingNodes,
                update == null ? 0 : update.endpoints().size(),
                list.length() + " bytes");
    }

    /** The list is fetched only from the address in the configuration. */
    @Test
    void redirectionsAreNotFollowed() throws Exception {
        respondOnceThenNormally(
                (path, out) ->
                        send(
                                out,
                                lines(
                                        "HTTP/1.1 302 Found",
                                        "Location: /elsewhere",
                                        "Content-Length: 0",
                                        "",
                                        "")));
        startWatching();
        assertEquals(8L, nextUpdate());
        assertTrue(
                requests.stream().allMatch(path -> path.startsWith("/v1/servers")),
                requests.toString());
    }

    @Test
    void responsesOfEachTransferEncodingAreReadOverOneConnection() throws Exception {
        BlockingQueue<String> bodies =
                new LinkedBlockingQueue<>(
                        List.of(
                                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n41",
                                lines(
                                        "HTTP/1.1 200 OK",
                                        "Transfer-Encoding: chunked",
                                        "",
                                        "1",
                                        "4",
                                        "1;x=y",
                                        "2",
                                        "0",
                                        "",
                                        ""),
                                lines(
                                        "HTTP/1.1 200 OK",
                                        "content-length:2",
                                        "Connection: keep-alive",
                                        "",
                                        "43")));
        responder =
                (path, out) -> {
                    String body = bodies.poll();
                    if (body == null) {
                        staySilent();
                    }
                    send(out, body);
                };
        startWatching();
        assertEquals(41L, nextUpdate());
        assertEquals(42L, nextUpdate());
        assertEquals(43L, nextUpdate());
        assertEquals(1, sockets.size());
        assertEquals("/v1/servers", requests.poll());
        assertTrue(requests.poll().startsWith("/v1/servers?index=41&wait="));
        assertTrue(requests.poll().startsWith("/v1/servers?index=42&wait="));
    }

    @Test
    void connectionThatTheServerClosesIsNotReused() throws Exception {
        responder =
                (path, out) -> {
                    if (requests.size() > 2) {
                        staySilent();
                    }
                    send(
                            out,
                            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n"
                                    + requests.size());
                };
        startWatching();
        assertEquals(1L, nextUpdate());
        assertEquals(2L, nextUpdate());
        assertTrue(sockets.size() >= 2);
    }

    /** The server stops listening and later listens again at the same address. */
    @Test
    void refusedConnectionsAreRetriedUntilTheServerListensAgain() throws Exception {
        int port = server.getLocalPort();
        server.close();
        // While a thread is still accepting, the closed socket may take one more connection.
        acceptThread.join();
        startWatching();
        try (ServerSocket reopened = new ServerSocket()) {
            reopened.setReuseAddress(true);
            while (!reopened.isBound()) {
                try {
                    reopened.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                } catch (BindException e) {
                    // The previous listening socket is not released yet.
                    Thread.onSpinWait();
                }
            }
            responder = (path, out) -> respond(out, "8");
            reopened.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
            Socket socket = reopened.accept();
            sockets.add(socket);
            startDaemonThread(() -> serve(socket));
            assertEquals(8L, nextUpdate());
        }
    }

    /**
     * Waits until the received bytes are read and the thread of the connection stays in the next
     * read; returns the thread.
     */
    private static Thread awaitBlockedRead() {
        Thread thread = null;
        for (int blockedSamples = 0; blockedSamples < 1000; blockedSamples++) {
            if (thread == null || !isInSystemCall(thread)) {
                thread = findThread("discovery poll");
                blockedSamples = 0;
            }
        }
        return thread;
    }

    private static Thread findThread(String name) {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> thread.getName().equals(name) && isInSystemCall(thread))
                .findFirst()
                .orElse(null);
    }

    /** Returns whether the thread waits for a socket, in the native method {@code poll}. */
    private static boolean isInSystemCall(Thread thread) {
        StackTraceElement[] stack = thread.getStackTrace();
        return stack.length > 0
                && stack[0].isNativeMethod()
                && stack[0].getMethodName().equals("poll");
    }

    /**
     * A new configuration stops the watcher at any point of a response, and must not wait for it.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200 OK\r\nContent-",
                "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n12",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n12"
            })
    void stopWaitsForNoResponseAndNoUpdateFollowsIt(String start) throws Exception {
        responder =
                (path, out) -> {
                    if (path.contains("index")) {
                        send(out, start);
                        staySilent();
                    }
                    respond(out, "1");
                };
        Thread watcherThread = startDaemonThread(watcher::run);
        assertEquals(1L, nextUpdate());
        assertEquals("/v1/servers", requests.take());
        requests.take();
        Thread connectionThread = awaitBlockedRead();
        Thread stopThread = startDaemonThread(watcher::stop);
        stopThread.join(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        assertFalse(stopThread.isAlive(), "stop waits for the response");
        watcherThread.join(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        assertFalse(watcherThread.isAlive(), "the watcher continues after the stop");
        connectionThread.join(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        assertFalse(connectionThread.isAlive(), "the long poll continues after the stop");
        assertNull(updates.poll());
    }
}
