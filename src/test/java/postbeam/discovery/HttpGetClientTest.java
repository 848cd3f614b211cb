package postbeam.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A thread that comes late: each limit has passed before it reads, while the whole answer was there
 * in time.
 */
@Timeout(60)
class HttpGetClientTest {
    private static final int MAX_BYTES = 256 << 10;
    private static final Duration LONG = Duration.ofSeconds(30);
    private static final HttpGetClient.Timeouts GENEROUS =
            new HttpGetClient.Timeouts(LONG, LONG, LONG, LONG);

    private FakeDiscoveryAgent agent;
    private HttpGetClient http;

    @BeforeEach
    void setUp() throws IOException {
        agent = new FakeDiscoveryAgent();
        http = new HttpGetClient(agent.address());
    }

    @AfterEach
    void tearDown() throws IOException {
        http.close();
        agent.close();
    }

    private static HttpGetClient.Timeouts expired(String what) {
        Duration none = Duration.ZERO;
        return switch (what) {
            case "begin" -> new HttpGetClient.Timeouts(LONG, none, LONG, LONG);
            case "rest" -> new HttpGetClient.Timeouts(LONG, LONG, none, LONG);
            default -> new HttpGetClient.Timeouts(LONG, LONG, LONG, none);
        };
    }

    /** The connection on which the next question is asked, with nothing left on it. */
    private FakeDiscoveryAgent.Request idleConnection() throws Exception {
        BlockingQueue<String> bodies = new LinkedBlockingQueue<>();
        FakeDiscoveryAgent.daemon(
                () ->
                        bodies.add(
                                new String(
                                        http.get("/", MAX_BYTES, GENEROUS),
                                        StandardCharsets.UTF_8)));
        FakeDiscoveryAgent.Request call = agent.nextRequest();
        call.respond("1");
        assertEquals("1", bodies.take());
        return call;
    }

    /**
     * The answer stands in the socket before the question: a write on loopback returns once it is
     * there.
     */
    @ParameterizedTest
    @ValueSource(strings = {"begin", "rest", "whole"})
    void responseThatCameInTimeIsTakenHoweverLateItIsRead(String limit) throws Exception {
        String body = "1234567".repeat(5_000);
        idleConnection().respond(body);
        assertEquals(
                body, new String(http.get("/", MAX_BYTES, expired(limit)), StandardCharsets.UTF_8));
        assertEquals(1, agent.connections());
    }

    @ParameterizedTest
    @ValueSource(strings = {"begin", "whole"})
    void responseThatEndsWithItsConnectionIsTakenHoweverLateItIsRead(String limit)
            throws Exception {
        String body = "1234567".repeat(5_000);
        FakeDiscoveryAgent.Request call = idleConnection();
        call.send("HTTP/1.1 200 OK\r\n\r\n" + body);
        call.socket().shutdownOutput();
        assertEquals(
                body, new String(http.get("/", MAX_BYTES, expired(limit)), StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @ValueSource(strings = {"begin", "whole"})
    void missingResponseTimesOutAtOnceOnceItsDeadlineHasPassed(String limit) throws Exception {
        idleConnection();
        IOException e =
                assertThrows(IOException.class, () -> http.get("/", MAX_BYTES, expired(limit)));
        assertEquals("no whole answer in time", e.getMessage());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n12",
                "HTTP/1.1 200 OK\r\n\r\n12",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n12",
                "HTTP/1.1 200 OK\r\nContent-"
            })
    void partialResponseTimesOutAtOnceOnceItsDeadlineHasPassed(String part) throws Exception {
        idleConnection().send(part);
        IOException e =
                assertThrows(IOException.class, () -> http.get("/", MAX_BYTES, expired("whole")));
        assertEquals("no whole answer in time", e.getMessage());
    }

    /**
     * Each read finds a byte: so many reads and no more, or the answer would go on for as long as
     * 260,000 of them.
     */
    @Test
    void responseThatTricklesFasterThanItIsReadTimesOut() throws Exception {
        idleConnection().trickle(0);
        long from = System.nanoTime();
        IOException e =
                assertThrows(IOException.class, () -> http.get("/", MAX_BYTES, expired("whole")));
        long after = (System.nanoTime() - from) / 1_000_000;
        assertEquals("no whole answer in time", e.getMessage());
        assertTrue(after <= 1_000, "given up after " + after + " ms");
    }
}
