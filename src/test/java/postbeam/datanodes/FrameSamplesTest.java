package postbeam.datanodes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import postbeam.config.InstanceSettings;
import postbeam.dispatch.AttemptListener;
import postbeam.dispatch.AttemptResult;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.QueryAction;
import postbeam.endpoints.Endpoint;
import postbeam.endpoints.EndpointUpdate;
import postbeam.json.Json;
import postbeam.model.AttemptOutcome;
import postbeam.model.Readiness;
import postbeam.pages.PageRequest;
import postbeam.pages.SortKey;
import postbeam.pages.SortOrder;
import postbeam.router.InFlightQuery;
import postbeam.router.PagingService;
import postbeam.router.PolicyExecutor;
import postbeam.samples.SampleFile;
import postbeam.slices.Layout;
import postbeam.slices.SliceTranslator;

/**
 * Compares each type of frame between a router and a data node with recorded bytes, which an
 * earlier build wrote or read.
 */
@Timeout(30)
class FrameSamplesTest {
    private static final String TO_NODE = "frames/to-node/";
    private static final String FROM_NODE = "frames/from-node/";
    private static final String ID = "9b1f03aa5c7e2d41";

    /**
     * The milliseconds left keep four digits throughout a test, so that the length of a frame does
     * not change.
     */
    private static final Duration DEADLINE = Duration.ofMillis(9999);

    private static final byte[] PREDICATE = "c41e77d0".getBytes(StandardCharsets.UTF_8);
    private static final String SETTINGS =
            "{\"zone\":\"a\",\"nInstances\":1,\"domain\":{\"cells\":1,\"reach\":1},"
                + "\"caps\":{\"maxAttempts\":1,\"cancelling\":true,\"probes\":true},"
                + "\"classes\":[{\"name\":\"search\",\"promise\":9000000,\"effect\":\"retryable\"}]}";

    private final ServerSocket node = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final XnioWorker worker =
            Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    private PolicyExecutor executor;
    private Thread backgroundThread;

    FrameSamplesTest() throws IOException {}

    @AfterEach
    void tearDown() throws IOException {
        if (backgroundThread != null) {
            backgroundThread.interrupt();
        }
        worker.shutdownNow();
        node.close();
    }

    private void startExecutor(SliceTranslator translator, PagingService paging)
            throws IOException {
        executor =
                new PolicyExecutor(
                        new InstanceSettings(
                                Json.parseObject(SETTINGS.getBytes(StandardCharsets.UTF_8)), ""),
                        1,
                        16,
                        Duration.ofMillis(50),
                        translator,
                        paging);
        executor.onEndpointUpdate(
                new EndpointUpdate(
                        1,
                        true,
                        List.of(new Endpoint("n1", "a", 0, 0, Readiness.READY)),
                        Map.of("n1", "127.0.0.1:" + node.getLocalPort())));
        if (translator != null) {
            executor.onLayout(Layout.initial(2, List.of("n1"), 1), System.nanoTime());
        }
        backgroundThread =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    executor.awaitBackgroundActions();
                                }
                            } catch (InterruptedException e) {
                                // The test has ended.
                            }
                        });
        backgroundThread.setDaemon(true);
        backgroundThread.start();
    }

    private InFlightQuery accept(PageRequest page, int... shards) throws Exception {
        List<ClientRequest.RequestedShard> parts =
                Arrays.stream(shards)
                        .mapToObj(
                                shard ->
                                        new ClientRequest.RequestedShard(
                                                shard, 1.0 / shards.length, null))
                        .toList();
        return executor.accept(
                        new ClientRequest(
                                ID, "search", null, DEADLINE, parts, PREDICATE, 0, false, page),
                        Duration.ZERO)
                .orElseThrow();
    }

    private QueryAction.Send send(InFlightQuery query) throws InterruptedException {
        return assertInstanceOf(QueryAction.Send.class, executor.awaitAction(query));
    }

    /** Replaces the time left, the only part of a frame that differs between runs. */
    private static byte[] withFixedDeadline(byte[] frame) {
        return new String(frame, StandardCharsets.ISO_8859_1)
                .replaceAll(" d=[0-9]{4}", " d=9999")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] toArray(ByteBuffer frame) {
        byte[] bytes = new byte[frame.remaining()];
        frame.duplicate().get(bytes);
        return bytes;
    }

    /** Returns the payload of a frame and checks the frame's length and letter. */
    private static byte[] payload(char letter, byte[] frame) {
        ByteBuffer in = ByteBuffer.wrap(frame).order(ByteOrder.LITTLE_ENDIAN);
        assertEquals(frame.length - FrameCodec.LENGTH_BYTES, in.getInt());
        assertEquals(letter, (char) in.get());
        return Arrays.copyOfRange(frame, in.position(), frame.length);
    }

    @Test
    void callFrameEqualsTheRecordedFrame() throws Exception {
        startExecutor(null, null);
        SampleFile.assertSame(
                TO_NODE + "call.bin",
                withFixedDeadline(
                        toArray(FrameCodec.encodeCall(send(accept(null, 3, 9)).attempts()))));
    }

    @Test
    void callFrameOfSlicesEqualsTheRecordedFrame() throws Exception {
        startExecutor(new SliceTranslator(), null);
        SampleFile.assertSame(
                TO_NODE + "call-slices.bin",
                withFixedDeadline(
                        toArray(FrameCodec.encodeCall(send(accept(null, 0, 1)).attempts()))));
    }

    @Test
    void callFrameForPageEqualsTheRecordedFrame() throws Exception {
        startExecutor(new SliceTranslator(), new PagingService("0a".repeat(32), null, 100));
        PageRequest page =
                new PageRequest(
                        new SortOrder(List.of(new SortKey("price", true, false))), 10, null);
        SampleFile.assertSame(
                TO_NODE + "call-page.bin",
                withFixedDeadline(
                        toArray(FrameCodec.encodeCall(send(accept(page, 0, 1)).attempts()))));
    }

    @Test
    void cancelAndProbeFramesEqualTheRecordedFrames() throws IOException {
        SampleFile.assertSame(
                TO_NODE + "give-up.bin", toArray(FrameCodec.encode(FrameCodec.CANCEL, ID + ".3")));
        SampleFile.assertSame(
                TO_NODE + "probe.bin", toArray(FrameCodec.encode(FrameCodec.PROBE, "")));
        SampleFile.assertSame(
                TO_NODE + "load-probe.bin", toArray(FrameCodec.encode(FrameCodec.LOAD_PROBE, "")));
    }

    @ParameterizedTest
    @CsvSource({
        "answer-good.bin, SUCCESS, 5be2a07c19f04d63",
        "answer-good-report.bin, SUCCESS, 5be2a07c19f04d63",
        "answer-bad.bin, ERROR, ''",
        "answer-later.bin, OVERLOADED, ''",
        "answer-moved.bin, MOVED, ''"
    })
    void responseIsDecodedFromSample(String sample, AttemptOutcome outcome, String value)
            throws Exception {
        ShardResponse response =
                FrameCodec.decodeResponse(
                        payload(FrameCodec.RESPONSE, SampleFile.bytes(FROM_NODE + sample)));
        assertEquals(ID + ".3", response.attemptId());
        assertEquals(outcome, response.outcome());
        assertEquals(value, new String(response.value(), StandardCharsets.UTF_8));
    }

    @Test
    void recordedFramesOfOtherTypesHaveTheirTypeLetters() throws IOException {
        assertEquals(
                "good",
                new String(
                        payload(FrameCodec.PROBE, SampleFile.bytes(FROM_NODE + "probe-good.bin")),
                        StandardCharsets.UTF_8));
        assertEquals(
                "bad",
                new String(
                        payload(FrameCodec.PROBE, SampleFile.bytes(FROM_NODE + "probe-bad.bin")),
                        StandardCharsets.UTF_8));
        assertEquals(
                "-",
                new String(
                        payload(
                                FrameCodec.LOAD_PROBE,
                                SampleFile.bytes(FROM_NODE + "load-probe.bin")),
                        StandardCharsets.UTF_8));
        payload(FrameCodec.PROTOCOL_ERROR, SampleFile.bytes(FROM_NODE + "unusable.bin"));
    }

    private static byte[] readFrame(DataInputStream in) throws IOException {
        byte[] head = in.readNBytes(FrameCodec.LENGTH_BYTES);
        byte[] rest = in.readNBytes(ByteBuffer.wrap(head).order(ByteOrder.LITTLE_ENDIAN).getInt());
        return ByteBuffer.allocate(head.length + rest.length).put(head).put(rest).array();
    }

    /** Covers a call, a probe and their responses on one connection. */
    @Test
    void connectionWritesAndReadsTheRecordedFrames() throws Exception {
        startExecutor(null, null);
        DataNodeClient dataNodeClient =
                new DataNodeClient(
                        worker.getIoThread(),
                        executor,
                        32,
                        Duration.ofSeconds(5),
                        Duration.ofSeconds(10),
                        10,
                        false);
        InFlightQuery query = accept(null, 3);
        QueryAction.Send send = send(query);
        dataNodeClient.send(send.address(), send.attempts());
        try (Socket router = node.accept()) {
            DataInputStream in = new DataInputStream(router.getInputStream());
            SampleFile.assertSame(TO_NODE + "call-one-part.bin", withFixedDeadline(readFrame(in)));
            dataNodeClient.probe("n1", send.address());
            SampleFile.assertSame(TO_NODE + "probe.bin", readFrame(in));
            router.getOutputStream().write(SampleFile.bytes(FROM_NODE + "probe-good.bin"));
            router.getOutputStream().write(SampleFile.bytes(FROM_NODE + "answer-good.bin"));
            QueryAction.Answer answer =
                    assertInstanceOf(QueryAction.Answer.class, executor.awaitAction(query));
            assertEquals(
                    "5be2a07c19f04d63",
                    new String(answer.values().get(0).payload(), StandardCharsets.UTF_8));
        }
    }

    /** Covers a protocol error frame and a health check result without a probe. */
    @ParameterizedTest
    @ValueSource(strings = {"unusable.bin", "probe-good.bin"})
    void unexpectedOrProtocolErrorFrameClosesConnection(String sample) throws Exception {
        startExecutor(null, null);
        DataNodeClient dataNodeClient =
                new DataNodeClient(
                        worker.getIoThread(),
                        executor,
                        32,
                        Duration.ofSeconds(5),
                        Duration.ofSeconds(10),
                        10,
                        false);
        InFlightQuery query = accept(null, 3);
        QueryAction.Send send = send(query);
        dataNodeClient.send(send.address(), send.attempts());
        try (Socket router = node.accept()) {
            DataInputStream in = new DataInputStream(router.getInputStream());
            readFrame(in);
            router.getOutputStream().write(SampleFile.bytes(FROM_NODE + sample));
            assertThrows(
                    IOException.class,
                    () -> {
                        if (in.read() < 0) {
                            throw new IOException("closed");
                        }
                    });
        }
    }

    /**
     * A node that has left a slice proves that the request did not run, and it is sent to another
     * node; a call without a slice leaves nothing to prove.
     */
    @ParameterizedTest
    @CsvSource({"true, MOVED", "false, ERROR"})
    void movedIsTheOutcomeOfCallsThatNameTheirSlice(boolean sliced, AttemptOutcome expected)
            throws Exception {
        startExecutor(sliced ? new SliceTranslator() : null, null);
        BlockingQueue<AttemptResult> results = new LinkedBlockingQueue<>();
        DataNodeClient dataNodeClient =
                new DataNodeClient(
                        worker.getIoThread(),
                        new AttemptListener() {
                            @Override
                            public void onAttemptResults(List<AttemptResult> ended) {
                                results.addAll(ended);
                            }

                            @Override
                            public void onHealthCheck(String nodeName, boolean healthy) {}
                        },
                        32,
                        Duration.ofSeconds(5),
                        Duration.ofSeconds(10),
                        10,
                        false);
        QueryAction.Send send = send(accept(null, 0));
        dataNodeClient.send(send.address(), send.attempts());
        try (Socket router = node.accept()) {
            readFrame(new DataInputStream(router.getInputStream()));
            router.getOutputStream()
                    .write(
                            toArray(
                                    FrameCodec.encode(
                                            FrameCodec.RESPONSE,
                                            send.attempts().get(0).id + " moved 0 -\n")));
            assertEquals(expected, results.take().outcome());
        }
    }
}
