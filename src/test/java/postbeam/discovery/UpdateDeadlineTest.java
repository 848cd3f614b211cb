package postbeam.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import postbeam.endpoints.PollTimings;

/**
 * Tests the rule that a change must be delivered within 6 s after discovery has it and can be
 * reached, whatever requests were pending, had failed or had been refused. Each test takes the
 * worst moment: when discovery recovers, a request has already arrived there and gets no response.
 */
@Timeout(120)
class UpdateDeadlineTest {
    /** Time limit for an update: 6 s, less 500 ms for a router that is scheduled late. */
    private static final long UPDATE_MILLIS = 5_500;

    /**
     * Time limit for a recovered agent: the grace time of 500 ms plus 100 ms for a busy machine.
     */
    private static final long MAX_RECOVERY_MILLIS = 600;

    /** How a request fails. */
    private enum FailureMode {
        SILENT,
        RESET,
        TRICKLE,
        STATUS_503
    }

    private FakeDiscoveryAgent agent;
    private final BlockingQueue<Long> updates = new LinkedBlockingQueue<>();
    private final BlockingQueue<Integer> failures = new LinkedBlockingQueue<>();
    private LongPollWatcher<Long> watcher;

    @BeforeEach
    void setUp() throws IOException {
        agent = new FakeDiscoveryAgent();
    }

    @AfterEach
    void tearDown() throws IOException {
        watcher.stop();
        agent.close();
    }

    private void startWatching(PollTimings timings) {
        PollTimings countingTimings =
                new PollTimings(
                        timings.longPollWait(),
                        timings.longPollGrace(),
                        timings.responseTimeout(),
                        timings.firstByteTimeout(),
                        timings.latenessLimits(),
                        failureCount -> {
                            failures.add(failureCount);
                            return timings.backoff().apply(failureCount);
                        },
                        timings.maxBackoff());
        watcher =
                new LongPollWatcher<>(
                        new LongPollWatcher.Source(
                                "discovery", agent.address(), "/v1/servers", 256 << 10),
                        body ->
                                Long.parseLong(
                                        new String(body.readAllBytes(), StandardCharsets.UTF_8)),
                        version -> version,
                        updates::add,
                        countingTimings);
        FakeDiscoveryAgent.startDaemonThread(watcher::run);
    }

    private static PollTimings discoveryServer() {
        return PollTimings.discoveryServer(Duration.ofSeconds(10), new Random(5));
    }

    private static void fail(FakeDiscoveryAgent.Request request, FailureMode mode)
            throws Exception {
        switch (mode) {
            case SILENT -> {}
            case RESET -> request.reset();
            case TRICKLE -> request.trickle(TimeUnit.MILLISECONDS.toNanos(20));
            case STATUS_503 -> request.send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
        }
    }

    /** Responds to the first fetch and returns the long poll that follows its update. */
    private FakeDiscoveryAgent.Request awaitLongPoll(long version) throws Exception {
        agent.nextRequest().respond(String.valueOf(version));
        assertEquals(version, updates.take());
        FakeDiscoveryAgent.Request longPoll = agent.nextRequest();
        assertTrue(
                longPoll.path().startsWith("/v1/servers?index=" + version + "&wait="),
                longPoll.path());
        return longPoll;
    }

    private void assertUpdated(long version, long sinceNanos, long withinMillis)
            throws InterruptedException {
        assertEquals(version, updates.poll(60, TimeUnit.SECONDS));
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
        assertTrue(elapsedMillis <= withinMillis, "updated after " + elapsedMillis + " ms");
    }

    /**
     * Discovery receives the change right after the long poll has arrived. The long poll gets no
     * response, and the request for changes after it fails, too.
     */
    @ParameterizedTest
    @EnumSource
    void updateIsInTimeAfterASilentLongPollAndAFailedFetchAtTheAgent(FailureMode mode)
            throws Exception {
        startWatching(PollTimings.LOCAL_AGENT);
        FakeDiscoveryAgent.Request silent = awaitLongPoll(1);
        FakeDiscoveryAgent.Request failed = agent.nextRequest();
        assertEquals("/v1/servers?index=1&wait=1", failed.path());
        fail(failed, mode);
        FakeDiscoveryAgent.Request refetch = agent.nextRequest();
        assertEquals("/v1/servers?index=1&wait=1", refetch.path());
        refetch.respond("2");
        assertUpdated(2, silent.receivedAtNanos(), UPDATE_MILLIS);
    }

    /**
     * Both requests end as late as possible: the long poll times out, and the list arrives shortly
     * before its deadline.
     */
    @Test
    void updateIsInTimeAfterASilentLongPollAtTheServer() throws Exception {
        startWatching(discoveryServer());
        FakeDiscoveryAgent.Request silent = awaitLongPoll(1);
        respondLate(agent.nextRequest());
        assertUpdated(2, silent.receivedAtNanos(), UPDATE_MILLIS);
    }

    /**
     * Discovery recovers right after the last of three fetches, all of which fail in the same way.
     */
    @ParameterizedTest
    @EnumSource
    void updateIsInTimeAfterFailedFetchesAtTheServer(FailureMode mode) throws Exception {
        startWatching(discoveryServer());
        FakeDiscoveryAgent.Request failed = null;
        for (int requestCount = 0; requestCount < 3; requestCount++) {
            failed = agent.nextRequest();
            fail(failed, mode);
        }
        respondLate(agent.nextRequest());
        assertUpdated(2, failed.receivedAtNanos(), UPDATE_MILLIS);
    }

    private static void respondLate(FakeDiscoveryAgent.Request request) throws Exception {
        request.send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n");
        // The pause is the time allowed for a response, less a margin for a busy machine.
        Thread.sleep(1_700);
        request.send("2");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5})
    void updateIsInTimeAfterRefusedConnections(int refused) throws Exception {
        agent.refuseConnections();
        startWatching(PollTimings.LOCAL_AGENT);
        for (int failure = 1; failure <= refused; failure++) {
            assertEquals(failure, failures.take());
        }
        agent.acceptConnections();
        long reopenedNanos = System.nanoTime();
        agent.nextRequest().respond("2");
        assertUpdated(2, reopenedNanos, MAX_RECOVERY_MILLIS);
    }

    /**
     * The agent recovers right after a fetch that it never responds to. Its list must be delivered
     * after the grace time.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 5})
    void updateIsInTimeAfterUnansweredFetchesAtTheAgent(int silent) throws Exception {
        startWatching(PollTimings.LOCAL_AGENT);
        FakeDiscoveryAgent.Request unanswered = null;
        for (int requestCount = 0; requestCount < silent; requestCount++) {
            unanswered = agent.nextRequest();
        }
        agent.nextRequest().respond("2");
        assertUpdated(2, unanswered.receivedAtNanos(), MAX_RECOVERY_MILLIS);
    }

    /** An agent that responds late delivers an update after some retries, as timeouts grow. */
    @Test
    void updateArrivesFromAnAgentThatAlwaysRespondsLate() throws Exception {
        startWatching(PollTimings.LOCAL_AGENT);
        while (updates.isEmpty()) {
            FakeDiscoveryAgent.Request request = agent.nextRequest();
            FakeDiscoveryAgent.startDaemonThread(
                    () -> {
                        Thread.sleep(500);
                        request.respond("2");
                    });
        }
        assertEquals(2L, updates.take());
    }

    /**
     * The intervals range from slow to so fast that each read finds a byte. The deadline must end
     * the reading in each case.
     */
    @ParameterizedTest
    @ValueSource(longs = {20_000_000, 1_000_000, 1_000})
    void tricklingListTimesOutAndIsFetchedAgain(long intervalNanos) throws Exception {
        startWatching(PollTimings.LOCAL_AGENT);
        FakeDiscoveryAgent.Request trickling = agent.nextRequest();
        trickling.trickle(intervalNanos);
        FakeDiscoveryAgent.Request refetch = agent.nextRequest();
        long elapsedMillis =
                TimeUnit.NANOSECONDS.toMillis(
                        refetch.receivedAtNanos() - trickling.receivedAtNanos());
        assertTrue(elapsedMillis <= 1_500, "fetched again after " + elapsedMillis + " ms");
        assertEquals("/v1/servers", refetch.path());
        refetch.respond("2");
        assertEquals(2L, updates.take());
    }

    /** A reset does not end a body, even if the bytes received so far are a valid list. */
    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/1.1 200 OK\r\n\r\n8", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n8"})
    void bodyWithoutLengthIsDiscardedOnReset(String start) throws Exception {
        startWatching(PollTimings.LOCAL_AGENT);
        FakeDiscoveryAgent.Request reset = agent.nextRequest();
        reset.send(start);
        reset.reset();
        FakeDiscoveryAgent.Request refetch = agent.nextRequest();
        assertEquals("/v1/servers", refetch.path());
        assertNull(updates.peek());
        refetch.respond("9");
        assertEquals(9L, updates.take());
    }

    /** In a long poll, a regular close ends a body without a length, and a reset does not. */
    @Test
    void bodyWithoutLengthIsAcceptedOnCloseAndDiscardedOnReset() throws Exception {
        startWatching(PollTimings.LOCAL_AGENT);
        FakeDiscoveryAgent.Request closed = awaitLongPoll(1);
        closed.send("HTTP/1.1 200 OK\r\n\r\n2");
        closed.socket().shutdownOutput();
        assertEquals(2L, updates.take());
        FakeDiscoveryAgent.Request reset = agent.nextRequest();
        assertTrue(reset.path().startsWith("/v1/servers?index=2&"), reset.path());
        reset.send("HTTP/1.1 200 OK\r\n\r\n3");
        reset.reset();
        FakeDiscoveryAgent.Request refetch = agent.nextRequest();
        assertEquals("/v1/servers?index=2&wait=1", refetch.path());
        refetch.respond("4");
        assertEquals(4L, updates.take());
    }
}
