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
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import postbeam.endpoints.EndpointUpdate;
import postbeam.endpoints.PollSchedule;

/**
 * Against a discovery on loopback that answers as it is told to: the body of a list is its version
 * alone.
 */
@Timeout(60)
class LongPollWatcherTest {
    /**
     * Between "must be given up by then" and what it would take unbounded: never, or 22 s and more.
     */
    private static final long GIVEN_UP_SECONDS = 10;

    private interface Way {
        void answer(String path, OutputStream out) throws Exception;
    }

    private ServerSocket server;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final BlockingQueue<String> asked = new LinkedBlockingQueue<>();
    private final BlockingQueue<Long> told = new LinkedBlockingQueue<>();
    private volatile Way way;
    private LongPollWatcher<Long> watch;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        daemon(
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        sockets.add(socket);
                        daemon(() -> serve(socket));
                    }
                });
        watch = watch(server.getLocalPort());
    }

    private LongPollWatcher<Long> watch(int port) {
        return new LongPollWatcher<>(
                new LongPollWatcher.Source("discovery", "127.0.0.1:" + port, "/v1/servers", 1000),
                body -> read(new String(body, StandardCharsets.UTF_8)),
                version -> version,
                told::add,
                PollSchedule.LOCAL_AGENT);
    }

    private static long read(String body) throws IOException {
        try {
            return Long.parseLong(body);
        } catch (NumberFormatException e) {
            throw new IOException("no version");
        }
    }

    private interface Work {
        void run() throws Exception;
    }

    private static Thread daemon(Work work) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                work.run();
                            } catch (Exception e) {
                                // Its peer or the test has ended.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream()));
            String line;
            while ((line = in.readLine()) != null) {
                String path = line.split(" ")[1];
                while (!in.readLine().isEmpty()) {
                    // Headers say nothing here.
                }
                asked.add(path);
                way.answer(path, socket.getOutputStream());
            }
        }
    }

    private static void say(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static void whole(OutputStream out, String body) throws IOException {
        say(out, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Until its asker closes it. */
    private void silent(OutputStream out) throws InterruptedException {
        Thread.sleep(Duration.ofMinutes(2).toMillis());
    }

    private void follow() {
        daemon(watch::run);
    }

    private Long told() throws InterruptedException {
        return told.poll(GIVEN_UP_SECONDS, TimeUnit.SECONDS);
    }

    @AfterEach
    void giveBack() throws IOException {
        watch.stop();
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** The first answer is bad in this way, the ones after it are good. */
    private void firstThenGood(Way first) {
        way =
                (path, out) -> {
                    if (asked.size() == 1) {
                        first.answer(path, out);
                    } else if (path.contains("index")) {
                        silent(out);
                    } else {
                        whole(out, "8");
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
    void anAnswerThatTricklesIsGivenUpAndTheListAskedForAnew(String start) throws Exception {
        firstThenGood(
                (path, out) -> {
                    say(out, start);
                    while (true) {
                        Thread.sleep(100);
                        say(out, start.isEmpty() ? "H" : "1");
                    }
                });
        follow();
        assertEquals(8L, told());
        assertEquals("/v1/servers", asked.poll());
        assertEquals("/v1/servers", asked.poll());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200 OK\r\nContent-",
                "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n12"
            })
    void anAnswerThatFallsSilentIsGivenUpAndTheListAskedForAnew(String start) throws Exception {
        firstThenGood(
                (path, out) -> {
                    say(out, start);
                    silent(out);
                });
        follow();
        assertEquals(8L, told());
    }

    /**
     * At the agent, which costs nothing to ask: nodes that drain meanwhile are known before it
     * counts.
     */
    @Test
    void aWatchThatFallsSilentIsGivenUpAndTheListAskedForOnANewConnection() throws Exception {
        way =
                (path, out) -> {
                    if (path.contains("index")) {
                        silent(out);
                    }
                    whole(out, String.valueOf(asked.size()));
                };
        follow();
        assertEquals(1L, told());
        assertEquals(3L, told());
        assertTrue(sockets.size() >= 2);
    }

    /** The rest of an answer that has begun is not waited for as long as its beginning. */
    @Test
    void aWatchThatFallsSilentInItsAnswerIsGivenUpLongBeforeItsWaitIsOver() throws Exception {
        way =
                (path, out) -> {
                    if (path.contains("index")) {
                        say(out, "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n12");
                        silent(out);
                    }
                    whole(out, String.valueOf(asked.size()));
                };
        follow();
        assertEquals(1L, told());
        assertEquals(3L, told());
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
    void aSpoiltAnswerIsPassedOverAndTheListAskedForAnew(String spoilt) throws Exception {
        firstThenGood((path, out) -> say(out, spoilt));
        follow();
        assertEquals(8L, told());
    }

    /** Such an answer begins in time and brings something with each read. */
    @ParameterizedTest
    @ValueSource(strings = {"a", "a: b\r\n", "\r\n"})
    void anAnswerThatNeverEndsIsGivenUp(String more) throws Exception {
        firstThenGood(
                (path, out) -> {
                    say(out, "HTTP/1.1 200 OK\r\n");
                    while (true) {
                        say(out, more.repeat(1000));
                    }
                });
        follow();
        assertEquals(8L, told());
    }

    /** A loop asks thousands of times in that second; a slow machine only asks less often. */
    @ParameterizedTest
    @ValueSource(strings = {"7", "-1"})
    void whatIsAnsweredAtOnceWithNothingNewIsNotAskedWithoutEnd(String version) throws Exception {
        way = (path, out) -> whole(out, version);
        follow();
        assertEquals("/v1/servers", asked.take());
        Thread.sleep(1000);
        assertTrue(asked.size() <= 20, asked.size() + " calls in a second");
    }

    @Test
    void aWatchWhoseVersionGoesBackTellsNothingAndTheWholeListIsTakenAsItIs() throws Exception {
        way =
                (path, out) -> {
                    if (path.contains("index=30")) {
                        silent(out);
                    }
                    whole(out, asked.size() == 1 ? "41" : asked.size() == 2 ? "29" : "30");
                };
        follow();
        assertEquals(41L, told());
        assertEquals(30L, told());
        assertEquals("/v1/servers", asked.poll());
        assertTrue(asked.poll().startsWith("/v1/servers?index=41&"));
        assertEquals("/v1/servers", asked.poll());
    }

    /** 200 nodes and the 100 that they replace, each value on a line of its own. */
    @Test
    void anIndentedListOfALargeFleetInAReleaseIsRead() throws Exception {
        String host =
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
                """;
        String list =
                "{\n    \"seq\": 41,\n    \"whole\": true,\n    \"hosts\": [\n"
                        + IntStream.range(0, 300)
                                .mapToObj(
                                        i ->
                                                host.formatted(i, i < 200 ? "up" : "draining")
                                                        .indent(8)
                                                        .stripTrailing())
                                .collect(Collectors.joining(",\n"))
                        + "\n    ]\n}\n";
        way =
                (path, out) -> {
                    if (path.contains("index")) {
                        silent(out);
                    }
                    whole(out, list);
                };
        BlockingQueue<EndpointUpdate> lists = new LinkedBlockingQueue<>();
        LongPollWatcher<EndpointUpdate> follows =
                EndpointListWatch.create(
                        "127.0.0.1:" + server.getLocalPort(),
                        9,
                        lists::add,
                        PollSchedule.LOCAL_AGENT);
        daemon(follows::run);
        EndpointUpdate read = lists.poll(GIVEN_UP_SECONDS, TimeUnit.SECONDS);
        follows.stop();
        assertEquals(300, read == null ? 0 : read.endpoints().size(), list.length() + " bytes");
    }

    /** Where it is read from is what the configuration names, and nothing else. */
    @Test
    void noRedirectionIsFollowed() throws Exception {
        firstThenGood(
                (path, out) ->
                        say(
                                out,
                                "HTTP/1.1 302 Found\r\n"
                                        + "Location: /elsewhere\r\n"
                                        + "Content-Length: 0\r\n\r\n"));
        follow();
        assertEquals(8L, told());
        assertTrue(
                asked.stream().allMatch(path -> path.startsWith("/v1/servers")), asked.toString());
    }

    @Test
    void wholeAnswersComeInEachFormOfTheProtocolOverOneConnection() throws Exception {
        BlockingQueue<String> bodies =
                new LinkedBlockingQueue<>(
                        List.of(
                                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n41",
                                "HTTP/1.1 200 OK\r\n"
                                        + "Transfer-Encoding: chunked\r\n\r\n"
                                        + "1\r\n"
                                        + "4\r\n"
                                        + "1;x=y\r\n"
                                        + "2\r\n"
                                        + "0\r\n\r\n",
                                "HTTP/1.1 200 OK\r\n"
                                        + "content-length:2\r\n"
                                        + "Connection: keep-alive\r\n\r\n"
                                        + "43"));
        way =
                (path, out) -> {
                    String body = bodies.poll();
                    if (body == null) {
                        silent(out);
                    }
                    say(out, body);
                };
        follow();
        assertEquals(41L, told());
        assertEquals(42L, told());
        assertEquals(43L, told());
        assertEquals(1, sockets.size());
        assertEquals("/v1/servers", asked.poll());
        assertTrue(asked.poll().startsWith("/v1/servers?index=41&wait="));
        assertTrue(asked.poll().startsWith("/v1/servers?index=42&wait="));
    }

    @Test
    void aConnectionThatIsToBeClosedIsNotAskedOnAgain() throws Exception {
        way =
                (path, out) -> {
                    if (asked.size() > 2) {
                        silent(out);
                    }
                    say(
                            out,
                            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n"
                                    + asked.size());
                };
        follow();
        assertEquals(1L, told());
        assertEquals(2L, told());
        assertTrue(sockets.size() >= 2);
    }

    /** Refused at first, then back at the same address. */
    @Test
    void whatIsRefusedIsAskedAgainUntilItIsBack() throws Exception {
        int port = server.getLocalPort();
        server.close();
        follow();
        try (ServerSocket back = new ServerSocket()) {
            back.setReuseAddress(true);
            while (!back.isBound()) {
                try {
                    back.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                } catch (BindException e) {
                    // The last of the old one is still on its way out.
                    Thread.onSpinWait();
                }
            }
            way = (path, out) -> whole(out, "8");
            Socket socket = back.accept();
            sockets.add(socket);
            daemon(() -> serve(socket));
            assertEquals(8L, told());
        }
    }

    /** A new configuration stops it wherever its answer stands, and waits for nothing. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200 OK\r\nContent-",
                "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n12",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n12"
            })
    void stoppingWaitsForNoAnswerAndNothingIsToldAfterIt(String start) throws Exception {
        way =
                (path, out) -> {
                    if (path.contains("index")) {
                        say(out, start);
                        silent(out);
                    }
                    whole(out, "1");
                };
        Thread following = daemon(watch::run);
        assertEquals(1L, told());
        assertEquals("/v1/servers", asked.take());
        asked.take();
        // Until what has come of it is read, and the next read waits for a while.
        for (int waits = 0; waits < 1000; waits++) {
            waits = following.getStackTrace()[0].getMethodName().equals("poll") ? waits : 0;
        }
        Thread stopping = daemon(watch::stop);
        stopping.join(TimeUnit.SECONDS.toMillis(GIVEN_UP_SECONDS));
        assertFalse(stopping.isAlive(), "the stop waits for the answer");
        following.join(TimeUnit.SECONDS.toMillis(GIVEN_UP_SECONDS));
        assertFalse(following.isAlive(), "the call that waits goes on");
        assertNull(told.poll());
    }
}
