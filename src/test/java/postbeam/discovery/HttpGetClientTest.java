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
 * Tests a requesting thread that is late: a deadline has passed before the thread reads. A response
 * that was received in time must be accepted, and any other must time out at once.
 */
@Timeout(60)
class HttpGetClientTest {
    private static final int MAX_BYTES = 256 << 10;
    private static final Duration LONG = Duration.ofSeconds(30);
    private static final HttpGetClient.Timeouts LONG_TIMEOUTS =
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

    private static HttpGetClient.Timeouts timeoutsWithExpired(String limit) {
        Duration expired = Duration.ZERO;
        return switch (limit) {
            case "firstByte" -> new HttpGetClient.Timeouts(LONG, expired, LONG, LONG);
            case "remainder" -> new HttpGetClient.Timeouts(LONG, LONG, expired, LONG);
            default -> new HttpGetClient.Timeouts(LONG, LONG, LONG, expired);
        };
    }

    private String timeoutMessage(HttpGetClient.Timeouts timeouts) {
        return "response from "
                + agent.address()
                + " not complete in time: limits are "
                + timeouts.connect().toMillis()
                + " ms to connect, "
                + timeouts.firstByte().toMillis()
                + " ms to the first byte, "
                + timeouts.remainder().toMillis()
                + " ms for the rest, "
                + timeouts.total().toMillis()
                + " ms in all";
    }

    /**
     * Completes a first request and returns it. The next request uses its connection, which has no
     * unread bytes.
     */
    private FakeDiscoveryAgent.Request completeFirstRequest() throws Exception {
        BlockingQueue<String> bodies = new LinkedBlockingQueue<>();
        FakeDiscoveryAgent.startDaemonThread(
                () ->
                        bodies.add(
                                new String(
                                        http.get("/", MAX_BYTES, LONG_TIMEOUTS).readAllBytes(),
                                        StandardCharsets.UTF_8)));
        FakeDiscoveryAgent.Request request = agent.nextRequest();
        request.respond("1");
        assertEquals("1", bodies.take());
        return request;
    }

    /**
     * The response is in the socket's receive buffer before the request is sent, as a write on
     * loopback returns once the bytes are there.
     */
    @ParameterizedTest
    @ValueSource(strings = {"firstByte", "remainder", "total"})
    void responseReceivedInTimeIsAcceptedWhenReadAfterItsDeadline(String limit) throws Exception {
        String body = "1234567".repeat(5_000);
        completeFirstRequest().respond(body);
        assertEquals(
                body,
                new String(
                        http.get("/", MAX_BYTES, timeoutsWithExpired(limit)).readAllBytes(),
                        StandardCharsets.UTF_8));
        assertEquals(1, agent.connections());
    }

    @ParameterizedTest
    @ValueSource(strings = {"firstByte", "total"})
    void responseEndedByConnectionCloseIsAcceptedWhenReadAfterItsDeadline(String limit)
            throws Exception {
        String body = "1234567".repeat(5_000);
        FakeDiscoveryAgent.Request request = completeFirstRequest();
        request.send("HTTP/1.1 200 OK\r\n\r\n" + body);
        request.socket().shutdownOutput();
        assertEquals(
                body,
                new String(
                        http.get("/", MAX_BYTES, timeoutsWithExpired(limit)).readAllBytes(),
                        StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @ValueSource(strings = {"firstByte", "total"})
    void missingResponseTimesOutAtOnceAfterItsDeadline(String limit) throws Exception {
        completeFirstRequest();
        IOException e =
                assertThrows(
                        IOException.class,
                        () -> http.get("/", MAX_BYTES, timeoutsWithExpired(limit)));
        assertEquals(timeoutMessage(timeoutsWithExpired(limit)), e.getMessage());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n12",
                "HTTP/1.1 200 OK\r\n\r\n12",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n12",
                "HTTP/1.1 200 OK\r\nContent-"
            })
    void partialResponseTimesOutAtOnceAfterItsDeadline(String part) throws Exception {
        completeFirstRequest().send(part);
        IOException e =
                assertThrows(
                        IOException.class,
                        () -> http.get("/", MAX_BYTES, timeoutsWithExpired("total")));
        assertEquals(timeoutMessage(timeoutsWithExpired("total")), e.getMessage());
    }

    /**
     * Each read finds a byte. Without a limit on the reads after the deadline, the response would
     * take 260,000 reads.
     */
    @Test
    void responseThatTricklesFasterThanItIsReadTimesOut() throws Exception {
        completeFirstRequest().trickle(0);
        long startNanos = System.nanoTime();
        IOException e =
                assertThrows(
                        IOException.class,
                        () -> http.get("/", MAX_BYTES, timeoutsWithExpired("total")));
        long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
        assertEquals(timeoutMessage(timeoutsWithExpired("total")), e.getMessage());
        assertTrue(elapsedMillis <= 1_000, "timed out after " + elapsedMillis + " ms");
    }
}
