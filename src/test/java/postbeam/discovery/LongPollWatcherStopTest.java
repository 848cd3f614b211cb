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

/** Stops a watcher in each of its waits, with timeouts so long that only the stop ends them. */
@Timeout(60)
class LongPollWatcherStopTest {
    private static final String SOURCE_NAME = "stop test";
    private static final Duration LONG = Duration.ofMinutes(5);
    private static final PollTimings LONG_TIMINGS =
            new PollTimings(LONG, LONG, LONG, LONG, List.of(), after -> LONG, LONG);

    private final BlockingQueue<Long> updates = new LinkedBlockingQueue<>();

    private static LongPollWatcher<Long> createWatcher(
            String address, LongPollWatcher.Decoder<Long> decoder, Consumer<Long> onUpdate) {
        return new LongPollWatcher<>(
                new LongPollWatcher.Source(SOURCE_NAME, address, "/v1/servers", 1000),
                decoder,
                version -> version,
                onUpdate,
                LONG_TIMINGS);
    }

    /** Waits until a thread of the watcher's connections is in this method, and returns it. */
    private static Thread awaitConnectionThreadIn(String method) {
        while (true) {
            for (Thread thread : Thread.getAllStackTraces().keySet()) {
                if (thread.getName().equals(SOURCE_NAME + " poll") && isIn(thread, method)) {
                    return thread;
                }
            }
            Thread.onSpinWait();
        }
    }

    private static boolean isIn(Thread thread, String method) {
        return Arrays.stream(thread.getStackTrace())
                .anyMatch(frame -> frame.getMethodName().equals(method));
    }

    private static void assertEnds(Thread thread) throws InterruptedException {
        thread.join(Duration.ofSeconds(20).toMillis());
        assertFalse(thread.isAlive(), thread.getName() + " has not ended");
    }

    private void assertStops(LongPollWatcher<Long> watcher, Thread watcherThread)
            throws InterruptedException {
        watcher.stop();
        watcherThread.join(Duration.ofSeconds(20).toMillis());
        assertFalse(watcherThread.isAlive(), "the watcher has not stopped");
        assertNull(updates.peek());
    }

    /** The server's backlog is full, so the watcher's connection is never established. */
    @Test
    void stopDuringAConnectEndsTheWatcher() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> waiting = new ArrayList<>();
            try {
                while (true) {
                    Socket socket = new Socket();
                    waiting.add(socket);
                    socket.connect(
                            new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
                            500);
                }
            } catch (SocketTimeoutException e) {
                assertTrue(waiting.size() > 1);
            }
            LongPollWatcher<Long> watcher =
                    createWatcher("127.0.0.1:" + server.getLocalPort(), body -> 1L, updates::add);
            Thread watcherThread = FakeDiscoveryAgent.startDaemonThread(watcher::run);
            Thread connectionThread = awaitConnectionThreadIn("timedFinishConnect");
            assertStops(watcher, watcherThread);
            assertEnds(connectionThread);
            for (Socket socket : waiting) {
                socket.close();
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 200 OK\r\nContent-", "HTTP/1.1 200 OK\r\n\r\n12"})
    void stopDuringTheReadOfAResponseEndsTheWatcher(String start) throws Exception {
        try (FakeDiscoveryAgent agent = new FakeDiscoveryAgent()) {
            LongPollWatcher<Long> watcher =
                    createWatcher(agent.address(), body -> 1L, updates::add);
            Thread watcherThread = FakeDiscoveryAgent.startDaemonThread(watcher::run);
            agent.nextRequest().send(start);
            Thread connectionThread = awaitConnectionThreadIn("timedRead");
            assertStops(watcher, watcherThread);
            assertEnds(connectionThread);
        }
    }

    @Test
    void stopDuringABackoffPauseEndsTheWatcher() throws Exception {
        try (FakeDiscoveryAgent agent = new FakeDiscoveryAgent()) {
            CountDownLatch backingOff = new CountDownLatch(1);
            PollTimings timings =
                    new PollTimings(
                            LONG,
                            LONG,
                            LONG,
                            LONG,
                            List.of(),
                            after -> {
                                backingOff.countDown();
                                return Duration.ofMillis(500);
                            },
                            LONG);
            LongPollWatcher<Long> watcher =
                    new LongPollWatcher<>(
                            new LongPollWatcher.Source(
                                    "discovery", agent.address(), "/v1/servers", 1000),
                            body -> 1L,
                            version -> version,
                            updates::add,
                            timings);
            Thread watcherThread = FakeDiscoveryAgent.startDaemonThread(watcher::run);
            agent.nextRequest().reset();
            backingOff.await();
            assertStops(watcher, watcherThread);
            assertEquals(1, agent.connections());
        }
    }

    /** The stop does not wait for the decoder, and the decoded list is not delivered. */
    @Test
    void stopDuringDecodingEndsTheWatcher() throws Exception {
        CountDownLatch decoding = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        try (FakeDiscoveryAgent agent = new FakeDiscoveryAgent()) {
            LongPollWatcher<Long> watcher =
                    createWatcher(
                            agent.address(),
                            body -> {
                                decoding.countDown();
                                try {
                                    release.await();
                                } catch (InterruptedException e) {
                                    throw new IOException(e);
                                }
                                return 1L;
                            },
                            updates::add);
            Thread watcherThread = FakeDiscoveryAgent.startDaemonThread(watcher::run);
            agent.nextRequest().respond("1");
            decoding.await();
            watcher.stop();
            release.countDown();
            assertStops(watcher, watcherThread);
        }
    }

    /**
     * An update that is being delivered when the watcher is stopped is complete once the stop
     * returns, and none is delivered after it.
     */
    @Test
    void stopWaitsForAnUpdateThatIsBeingDelivered() throws Exception {
        CountDownLatch delivering = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        List<Long> delivered = new ArrayList<>();
        try (FakeDiscoveryAgent agent = new FakeDiscoveryAgent()) {
            LongPollWatcher<Long> watcher =
                    createWatcher(
                            agent.address(),
                            body -> 1L,
                            version -> {
                                delivering.countDown();
                                try {
                                    release.await();
                                } catch (InterruptedException e) {
                                    throw new IllegalStateException(e);
                                }
                                delivered.add(version);
                            });
            Thread watcherThread = FakeDiscoveryAgent.startDaemonThread(watcher::run);
            agent.nextRequest().respond("1");
            delivering.await();
            Thread stopThread = FakeDiscoveryAgent.startDaemonThread(watcher::stop);
            while (stopThread.getState() != Thread.State.BLOCKED) {
                assertTrue(stopThread.isAlive(), "stop returned during the delivery");
                Thread.onSpinWait();
            }
            release.countDown();
            stopThread.join();
            watcherThread.join(Duration.ofSeconds(20).toMillis());
            assertFalse(watcherThread.isAlive(), "the watcher has not stopped");
            assertEquals(List.of(1L), delivered);
        }
    }
}
