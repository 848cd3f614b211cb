package postbeam.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongUnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import postbeam.endpoints.PollTimings;

/** Tests that changes are delivered in time by a discovery that answers each request late. */
@Timeout(120)
class SlowDiscoveryTest {
    /** Time limit for an update: 6 s, less 500 ms for a router that is scheduled late. */
    private static final long UPDATE_MILLIS = 5_500;

    private static final int CHANGES = 2;
    private static final int PIECES = 6;

    /** How late the responses are. */
    private enum Lateness {
        MODERATE,
        CONSTANT,
        NEARLY_TWO_SECONDS,
        BY_TURNS,
        RANDOM
    }

    private final Random random = new Random(11);

    private LongUnaryOperator millisByElapsedTime(Lateness lateness) {
        return switch (lateness) {
            case MODERATE -> elapsed -> 600;
            case CONSTANT -> elapsed -> 1_200;
            case NEARLY_TWO_SECONDS -> elapsed -> 1_900;
            case BY_TURNS -> elapsed -> elapsed / 3_000 % 2 == 0 ? 1_800 : 0;
            case RANDOM -> elapsed -> random.nextInt(1_900);
        };
    }

    private FakeDiscoveryAgent agent;
    private LongPollWatcher<Long> watcher;
    private final BlockingQueue<Long> updates = new LinkedBlockingQueue<>();
    private final long startNanos = System.nanoTime();
    private volatile LongUnaryOperator latenessMillis;
    private volatile boolean inPieces;
    private final AtomicInteger requests = new AtomicInteger();

    /** Guarded by this. */
    private long version = 1;

    @BeforeEach
    void setUp() throws IOException {
        agent = new FakeDiscoveryAgent();
        FakeDiscoveryAgent.startDaemonThread(
                () -> {
                    while (true) {
                        FakeDiscoveryAgent.Request request = agent.nextRequest();
                        FakeDiscoveryAgent.startDaemonThread(() -> respond(request));
                    }
                });
    }

    @AfterEach
    void tearDown() throws IOException {
        watcher.stop();
        agent.close();
    }

    private void startWatching(PollTimings timings) {
        watcher =
                new LongPollWatcher<>(
                        new LongPollWatcher.Source(
                                "discovery", agent.address(), "/v1/servers", 1000),
                        body ->
                                Long.parseLong(
                                        new String(body.readAllBytes(), StandardCharsets.UTF_8)
                                                .strip()),
                        updatedVersion -> updatedVersion,
                        updates::add,
                        timings);
        FakeDiscoveryAgent.startDaemonThread(watcher::run);
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private void respond(FakeDiscoveryAgent.Request request) throws Exception {
        requests.incrementAndGet();
        long answer = awaitChange(request.path());
        long late = latenessMillis.applyAsLong(elapsedMillis());
        if (!inPieces) {
            Thread.sleep(late);
            request.respond(String.valueOf(answer));
            return;
        }
        request.send("HTTP/1.1 200 OK\r\nContent-Length: " + PIECES + "\r\n\r\n");
        for (int piece = 1; piece < PIECES; piece++) {
            Thread.sleep(late / (PIECES - 1));
            request.send(" ");
        }
        request.send(String.valueOf(answer));
    }

    /** Waits for a change as the path requests, and returns the current version. */
    private synchronized long awaitChange(String path) throws InterruptedException {
        if (path.contains("index=")) {
            long index = Long.parseLong(path.replaceAll(".*index=([0-9]+).*", "$1"));
            long waitMillis = Long.parseLong(path.replaceAll(".*wait=([0-9]+).*", "$1"));
            long end = elapsedMillis() + waitMillis;
            for (long left = waitMillis; version <= index && left > 0; ) {
                wait(left);
                left = end - elapsedMillis();
            }
        }
        return version;
    }

    private synchronized long change() {
        version++;
        notifyAll();
        return version;
    }

    private void assertUpdatedWithin(long expected, long millis) throws InterruptedException {
        long sinceMillis = elapsedMillis();
        long last = 0;
        while (last < expected) {
            Long update = updates.poll(60, TimeUnit.SECONDS);
            assertTrue(update != null, "version " + expected + " was never delivered");
            assertTrue(update >= last, "version " + update + " follows version " + last);
            last = update;
        }
        long elapsed = elapsedMillis() - sinceMillis;
        assertTrue(elapsed <= millis, "version " + expected + " came after " + elapsed + " ms");
    }

    private void assertChangesAreDelivered() throws InterruptedException {
        assertUpdatedWithin(1, UPDATE_MILLIS);
        for (int i = 0; i < CHANGES; i++) {
            Thread.sleep(1_700);
            assertUpdatedWithin(change(), UPDATE_MILLIS);
        }
    }

    /** No change arrived from an agent whose responses were all later than 250 and 500 ms. */
    @ParameterizedTest
    @EnumSource
    void changesArriveFromASlowAgent(Lateness lateness) throws Exception {
        latenessMillis = millisByElapsedTime(lateness);
        startWatching(PollTimings.LOCAL_AGENT);
        assertChangesAreDelivered();
    }

    /** Bodies that took longer than 1 s were abandoned, although they ended within 2 s. */
    @Test
    void changesArriveFromAnAgentThatSendsItsBodiesSlowly() throws Exception {
        latenessMillis = elapsed -> 1_500;
        inPieces = true;
        startWatching(PollTimings.LOCAL_AGENT);
        assertChangesAreDelivered();
    }

    @ParameterizedTest
    @EnumSource(names = {"CONSTANT", "NEARLY_TWO_SECONDS"})
    void changesArriveFromASlowServer(Lateness lateness) throws Exception {
        latenessMillis = millisByElapsedTime(lateness);
        startWatching(PollTimings.discoveryServer(Duration.ofSeconds(10), new Random(5)));
        assertChangesAreDelivered();
    }

    /** No time limit covers responses this late, but a few are better than none. */
    @ParameterizedTest
    @CsvSource({"3000, 10000", "5000, 15000"})
    void agentThatIsLaterThanTheProtocolAllowsIsStillHeard(long late, long withinMillis)
            throws Exception {
        latenessMillis = elapsed -> late;
        startWatching(PollTimings.LOCAL_AGENT);
        assertUpdatedWithin(1, withinMillis);
        assertUpdatedWithin(change(), withinMillis);
    }

    /** Abandoned requests still cost a crowded server. */
    @Test
    void slowAgentIsNotFloodedWithRequests() throws Exception {
        latenessMillis = elapsed -> 1_900;
        startWatching(PollTimings.LOCAL_AGENT);
        assertUpdatedWithin(1, UPDATE_MILLIS);
        int requestsBefore = requests.get();
        long beforeMillis = elapsedMillis();
        Thread.sleep(6_000);
        int sent = requests.get() - requestsBefore;
        long allowed = (elapsedMillis() - beforeMillis) / 350 + 1;
        assertTrue(sent <= allowed, sent + " requests in 6 s, allowed " + allowed);
    }
}
