package postbeam.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import postbeam.endpoints.PollTimings;

/** Stopped wherever it stands, by waits so long that only the stop can end them. */
@Timeout(60)
class LongPollWatcherStopTest {
    private static final Duration LONG = Duration.ofMinutes(5);
    private static final PollTimings PATIENT =
            new PollTimings(LONG, LONG, LONG, after -> LONG, after -> LONG, LONG);

    private final BlockingQueue<Long> updates = new LinkedBlockingQueue<>();

    private static LongPollWatcher<Long> watch(
            String address, LongPollWatcher.Decoder<Long> reading, Consumer<Long> updates) {
        return new LongPollWatcher<>(
                new LongPollWatcher.Source("discovery", address, "/v1/servers", 1000),
                reading,
                version -> version,
                updates,
                PATIENT);
    }

    private static void awaitIn(Thread thread, String method) {
        while (Arrays.stream(thread.getStackTrace())
                .noneMatch(frame -> frame.getMethodName().equals(method))) {
            assertTrue(thread.isAlive(), "it has ended");
            Thread.onSpinWait();
        }
    }

    private void assertStops(LongPollWatcher<Long> watch, Thread watching)
            throws InterruptedException {
        watch.stop();
        watching.join(Duration.ofSeconds(20).toMillis());
        assertFalse(watching.isAlive(), "it goes on");
        assertNull(updates.peek());
    }

    /** A full queue of connections: the next one never comes up. */
    @Test
    void stopsWhileConnecting() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> waiting = new ArrayList<>();
            try {
                while (true) {
                    Socket socket = new Socket();
                    waiting.add(socket);
                    socket.connect(
                            new InetSocketAddress(full.getInetAddress(), full.getLocalPort()), 500);
                }
            } catch (SocketTimeoutException e) {
                assertTrue(waiting.size() > 1);
            }
            LongPollWatcher<Long> watch =
                    watch("127.0.0.1:" + full.getLocalPort(), body -> 1L, updates::add);
            Thread watching = FakeDiscoveryAgent.daemon(watch::run);
            awaitIn(watching, "timedFinishConnect");
            assertStops(watch, watching);
            for (Socket socket : waiting) {
                socket.close();
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 200 OK\r\nContent-", "HTTP/1.1 200 OK\r\n\r\n12"})
    void stopsWhileReadingAResponse(String start) throws Exception {
        try (FakeDiscoveryAgent agent = new FakeDiscoveryAgent()) {
            LongPollWatcher<Long> watch = watch(agent.address(), body -> 1L, updates::add);
            Thread watching = FakeDiscoveryAgent.daemon(watch::run);
            agent.nextRequest().send(start);
            awaitIn(watching, "timedRead");
            assertStops(watch, watching);
        }
    }

    @Test
    void stopsWhileBackingOff() throws Exception {
        try (FakeDiscoveryAgent agent = new FakeDiscoveryAgent()) {
            CountDownLatch paused = new CountDownLatch(1);
            PollTimings pace =
                    new PollTimings(
                            LONG,
                            LONG,
                            LONG,
                            after -> LONG,
                            after -> {
                                paused.countDown();
                                return Duration.ofMillis(500);
                            },
                            LONG);
            LongPollWatcher<Long> watch =
                    new LongPollWatcher<>(
                            new LongPollWatcher.Source(
                                    "discovery", agent.address(), "/v1/servers", 1000),
                            body -> 1L,
                            version -> version,
                            updates::add,
                            pace);
            Thread watching = FakeDiscoveryAgent.daemon(watch::run);
            agent.nextRequest().reset();
            paused.await();
            assertStops(watch, watching);
            assertEquals(1, agent.connections());
        }
    }

    /** The stop doesn't wait for a list that is decoded, and what comes of it isn't updates. */
    @Test
    void stopsWhileDecoding() throws Exception {
        CountDownLatch decodes = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        try (FakeDiscoveryAgent agent = new FakeDiscoveryAgent()) {
            LongPollWatcher<Long> watch =
                    watch(
                            agent.address(),
                            body -> {
                                decodes.countDown();
                                try {
                                    go.await();
                                } catch (InterruptedException e) {
                                    throw new IOException(e);
                                }
                                return 1L;
                            },
                            updates::add);
            Thread watching = FakeDiscoveryAgent.daemon(watch::run);
            agent.nextRequest().respond("1");
            decodes.await();
            watch.stop();
            go.countDown();
            assertStops(watch, watching);
        }
    }

    /**
     * What is being updates when it is stopped has been updates once the stop returns, and nothing
     * after it.
     */
    @Test
    void stopWaitsForAnUpdateThatIsBeingDelivered() throws Exception {
        CountDownLatch tells = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        List<Long> done = new ArrayList<>();
        try (FakeDiscoveryAgent agent = new FakeDiscoveryAgent()) {
            LongPollWatcher<Long> watch =
                    watch(
                            agent.address(),
                            body -> 1L,
                            version -> {
                                tells.countDown();
                                try {
                                    go.await();
                                } catch (InterruptedException e) {
                                    throw new IllegalStateException(e);
                                }
                                done.add(version);
                            });
            Thread watching = FakeDiscoveryAgent.daemon(watch::run);
            agent.nextRequest().respond("1");
            tells.await();
            Thread stopping = FakeDiscoveryAgent.daemon(watch::stop);
            while (stopping.getState() != Thread.State.BLOCKED) {
                assertTrue(
                        stopping.isAlive(), "the stop has returned while a list is being updates");
                Thread.onSpinWait();
            }
            go.countDown();
            stopping.join();
            watching.join(Duration.ofSeconds(20).toMillis());
            assertFalse(watching.isAlive(), "it goes on");
            assertEquals(List.of(1L), done);
        }
    }
}
