package postbeam.datanodes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import postbeam.config.InstanceSettings;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.QueryAction;
import postbeam.endpoints.Endpoint;
import postbeam.endpoints.EndpointUpdate;
import postbeam.json.Json;
import postbeam.model.Readiness;
import postbeam.router.InFlightQuery;
import postbeam.router.PolicyExecutor;

/** Tests calls to a node whose responses, if any, are written by the test. */
@Timeout(30)
class NodeConnectionTest {
    private final ServerSocket node = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final XnioWorker worker =
            Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    private final PolicyExecutor executor =
            new PolicyExecutor(
                    new InstanceSettings(
                            Json.parseObject(
                                    ("{\"zone\":\"a\",\"nInstances\":1,"
                                         + "\"domain\":{\"cells\":1,\"reach\":1},\"caps\":{\"maxAttempts\":3,\"cancelling\":true},\"classes\":["
                                         + "{\"name\":\"lookup\",\"promise\":1000000,\"effect\":\"retryable\"},"
                                         + "{\"name\":\"hold\",\"promise\":1000000,\"effect\":\"fragile\"}]}")
                                            .getBytes(StandardCharsets.UTF_8)),
                            ""),
                    1,
                    2,
                    Duration.ofMillis(50),
                    null);
    private final DataNodeClient dataNodeClient =
            new DataNodeClient(
                    worker.getIoThread(),
                    executor,
                    32,
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(10),
                    10,
                    false);

    private final Thread backgroundThread =
            new Thread(
                    () -> {
                        try {
                            while (true) {
                                executor().awaitBackgroundActions();
                            }
                        } catch (InterruptedException e) {
                            // The test has ended.
                        }
                    });

    NodeConnectionTest() throws IOException {
        executor.onEndpointUpdate(
                new EndpointUpdate(
                        1,
                        true,
                        List.of(new Endpoint("n1", "a", 0, 0, Readiness.READY)),
                        Map.of("n1", nodeAddress())));
        backgroundThread.setDaemon(true);
        backgroundThread.start();
    }

    private PolicyExecutor executor() {
        return executor;
    }

    private String nodeAddress() {
        return "127.0.0.1:" + node.getLocalPort();
    }

    @AfterEach
    void tearDown() throws IOException {
        backgroundThread.interrupt();
        worker.shutdownNow();
        node.close();
    }

    private InFlightQuery accept(String id) throws Exception {
        return accept(id, "lookup");
    }

    private InFlightQuery accept(String id, String queryClass) throws Exception {
        return executor.accept(
                        new ClientRequest(
                                id,
                                queryClass,
                                null,
                                Duration.ofSeconds(5),
                                List.of(new ClientRequest.RequestedShard(0, 1, null)),
                                new byte[] {'x'}),
                        Duration.ZERO)
                .orElseThrow();
    }

    private void send(InFlightQuery query) throws InterruptedException {
        QueryAction.Send send =
                assertInstanceOf(QueryAction.Send.class, executor.awaitAction(query));
        dataNodeClient.send(send.address(), send.attempts());
    }

    /** Blocks the I/O thread until the returned latch is released; returns once it is blocked. */
    private CountDownLatch blockIoThread() throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        worker.getIoThread()
                .execute(
                        () -> {
                            blocked.countDown();
                            try {
                                release.await();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        blocked.await();
        return release;
    }

    private static String readFirstWord(DataInputStream in) throws IOException {
        byte[] frame = in.readNBytes(Integer.reverseBytes(in.readInt()));
        return new String(frame, StandardCharsets.UTF_8).split(" ", -1)[0];
    }

    /**
     * The client disconnects after its attempt was queued and before the attempt is written. The
     * disconnect is found only by the check directly before the write.
     */
    @Test
    void attemptIsNotWrittenOnceItsClientHasDisconnected() throws Exception {
        InFlightQuery leaving = accept("leaving");
        InFlightQuery staying = accept("staying");
        CountDownLatch[] disconnected = {new CountDownLatch(1)};
        leaving.setClientCheck(
                () -> {
                    if (disconnected[0].getCount() == 0) {
                        executor.clientDisconnected(leaving);
                    }
                });
        CountDownLatch release = blockIoThread();
        send(leaving);
        disconnected[0].countDown();
        send(staying);
        release.countDown();
        try (Socket router = node.accept()) {
            assertEquals("mstaying.0", readFirstWord(new DataInputStream(router.getInputStream())));
        }
        assertInstanceOf(QueryAction.CancelAttempt.class, executor.awaitAction(leaving));
        assertInstanceOf(QueryAction.ClientDisconnected.class, executor.awaitAction(leaving));
    }

    /** Writes a frame whose stated length differs from its real one by the error. */
    private static void writeFrame(Socket router, String text, int lengthError) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        router.getOutputStream()
                .write(
                        ByteBuffer.allocate(FrameCodec.LENGTH_BYTES + bytes.length)
                                .order(ByteOrder.LITTLE_ENDIAN)
                                .putInt(bytes.length + lengthError)
                                .put(bytes)
                                .array());
    }

    /**
     * A value that was cut off by a wrong length must not be served; its attempt failed and may
     * have run.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 6, 15})
    void cutOffAnswerIsNotServedWhileAnotherIsDue(int missing) throws Exception {
        InFlightQuery query = accept("q1", "hold");
        InFlightQuery other = accept("q2", "hold");
        send(query);
        send(other);
        try (Socket router = node.accept()) {
            DataInputStream in = new DataInputStream(router.getInputStream());
            readFirstWord(in);
            readFirstWord(in);
            writeFrame(router, "qq1.0 good 0 -\n9a55dffaf8581041", -missing);
            assertInstanceOf(QueryAction.Abort.class, executor.awaitAction(query));
            assertInstanceOf(QueryAction.Abort.class, executor.awaitAction(other));
        }
    }

    /** Noise behind the only answer that is due must not delay or fail that answer. */
    @Test
    void answerBeforeNoiseIsServedAtOnceIfNothingElseIsDue() throws Exception {
        InFlightQuery query = accept("q1", "hold");
        send(query);
        try (Socket router = node.accept()) {
            readFirstWord(new DataInputStream(router.getInputStream()));
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.writeBytes(new byte[] {22, 0, 0, 0});
            bytes.writeBytes("qq1.0 good 0 -\n9a55dff".getBytes(StandardCharsets.UTF_8));
            bytes.writeBytes(new byte[] {'a', 9});
            long startNanos = System.nanoTime();
            router.getOutputStream().write(bytes.toByteArray());
            assertInstanceOf(QueryAction.Answer.class, executor.awaitAction(query));
            assertTrue(System.nanoTime() - startNanos < FrameReader.MAX_FRAME_DURATION.toNanos());
        }
    }

    /**
     * An outcome that the protocol does not know for this call is no proof that the request did not
     * run; a request with side effects must not be sent again.
     */
    @ParameterizedTest
    @ValueSource(strings = {"moved", "gone"})
    void unknownOutcomeDoesNotProveThatTheRequestDidNotRun(String outcome) throws Exception {
        InFlightQuery query = accept("q1", "hold");
        send(query);
        try (Socket router = node.accept()) {
            readFirstWord(new DataInputStream(router.getInputStream()));
            writeFrame(router, "qq1.0 " + outcome + " 0 -\n", 0);
            assertInstanceOf(QueryAction.Abort.class, executor.awaitAction(query));
        }
    }
}
