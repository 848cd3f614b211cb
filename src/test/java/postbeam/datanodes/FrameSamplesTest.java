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
import postbeam.pages.Order;
import postbeam.pages.PageAsked;
import postbeam.pages.SortKey;
import postbeam.roster.Entry;
import postbeam.roster.Told;
import postbeam.router.Asked;
import postbeam.router.Decisions;
import postbeam.router.OpenQuery;
import postbeam.router.Paging;
import postbeam.router.Step;
import postbeam.samples.SampleFile;
import postbeam.setup.Info;
import postbeam.setup.Json;
import postbeam.slices.Layout;
import postbeam.slices.Slicing;
import postbeam.state.Outcome;
import postbeam.state.Readiness;

/**
 * Each kind of frame between a router and a data node, as bytes that an earlier build wrote and
 * read.
 */
@Timeout(30)
class FrameSamplesTest {
    private static final String TO_NODE = "frames/to-node/";
    private static final String FROM_NODE = "frames/from-node/";
    private static final String ID = "9b1f03aa5c7e2d41";

    /**
     * Four digits of milliseconds for as long as a test lasts, so that a frame's length does not
     * change.
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
    private Decisions decisions;
    private Thread ticks;

    FrameSamplesTest() throws IOException {}

    @AfterEach
    void giveBack() throws IOException {
        if (ticks != null) {
            ticks.interrupt();
        }
        worker.shutdownNow();
        node.close();
    }

    private void route(Slicing slicing, Paging paging) throws IOException {
        decisions =
                new Decisions(
                        new Info(Json.object(SETTINGS.getBytes(StandardCharsets.UTF_8)), ""),
                        1,
                        16,
                        Duration.ofMillis(50),
                        slicing,
                        paging);
        decisions.listed(
                new Told(
                        1,
                        true,
                        List.of(new Entry("n1", "a", 0, 0, Readiness.READY)),
                        Map.of("n1", "127.0.0.1:" + node.getLocalPort())));
        if (slicing != null) {
            decisions.laidOut(Layout.first(2, List.of("n1"), 1), System.nanoTime());
        }
        ticks =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    decisions.tick();
                                }
                            } catch (InterruptedException e) {
                                // The test is over.
                            }
                        });
        ticks.setDaemon(true);
        ticks.start();
    }

    private OpenQuery take(PageAsked page, int... shards) throws Exception {
        List<Asked.AskedPart> parts =
                Arrays.stream(shards)
                        .mapToObj(shard -> new Asked.AskedPart(shard, 1.0 / shards.length, null))
                        .toList();
        return decisions.take(
                new Asked(ID, "search", null, DEADLINE, parts, PREDICATE, 0, false, page),
                Duration.ZERO);
    }

    private Step.Send send(OpenQuery query) throws InterruptedException {
        return assertInstanceOf(Step.Send.class, decisions.pick(query));
    }

    /** The time left is the one part of a frame that differs from run to run. */
    private static byte[] withDeadline(byte[] frame) {
        return new String(frame, StandardCharsets.ISO_8859_1)
                .replaceAll(" d=[0-9]{4}", " d=9999")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] array(ByteBuffer frame) {
        return Arrays.copyOfRange(frame.array(), frame.position(), frame.limit());
    }

    /** What follows the letter of a frame, whose length must be right. */
    private static byte[] payload(char letter, byte[] frame) {
        ByteBuffer in = ByteBuffer.wrap(frame).order(ByteOrder.LITTLE_ENDIAN);
        assertEquals(frame.length - Frames.HEAD, in.getInt());
        assertEquals(letter, (char) in.get());
        return Arrays.copyOfRange(frame, in.position(), frame.length);
    }

    @Test
    void callIsWrittenAsTheSample() throws Exception {
        route(null, null);
        SampleFile.assertSame(
                TO_NODE + "call.bin",
                withDeadline(array(Frames.call(send(take(null, 3, 9)).calls()))));
    }

    @Test
    void callOfSlicesIsWrittenAsTheSample() throws Exception {
        route(new Slicing(), null);
        SampleFile.assertSame(
                TO_NODE + "call-slices.bin",
                withDeadline(array(Frames.call(send(take(null, 0, 1)).calls()))));
    }

    @Test
    void callForAPageIsWrittenAsTheSample() throws Exception {
        route(new Slicing(), new Paging("0a".repeat(32), null, 100));
        PageAsked page =
                new PageAsked(new Order(List.of(new SortKey("price", true, false))), 10, null);
        SampleFile.assertSame(
                TO_NODE + "call-page.bin",
                withDeadline(array(Frames.call(send(take(page, 0, 1)).calls()))));
    }

    @Test
    void framesWithoutPartsAreWrittenAsTheSamples() throws IOException {
        SampleFile.assertSame(TO_NODE + "give-up.bin", array(Frames.of(Frames.GIVE_UP, ID + ".3")));
        SampleFile.assertSame(TO_NODE + "probe.bin", array(Frames.of(Frames.PROBE, "")));
        SampleFile.assertSame(TO_NODE + "load-probe.bin", array(Frames.of(Frames.LOAD_PROBE, "")));
    }

    @ParameterizedTest
    @CsvSource({
        "answer-good.bin, MERGED, 5be2a07c19f04d63",
        "answer-good-report.bin, MERGED, 5be2a07c19f04d63",
        "answer-bad.bin, ERROR, ''",
        "answer-later.bin, FULL, ''",
        "answer-moved.bin, MOVED, ''"
    })
    void answerIsReadFromTheSample(String sample, Outcome outcome, String value) throws Exception {
        Frames.Answer answer =
                Frames.answer(payload(Frames.ANSWER, SampleFile.bytes(FROM_NODE + sample)));
        assertEquals(ID + ".3", answer.id());
        assertEquals(outcome, answer.outcome());
        assertEquals(value, new String(answer.value(), StandardCharsets.UTF_8));
    }

    @Test
    void samplesOfTheNodesOtherFramesHaveTheLettersOfTheirKinds() throws IOException {
        assertEquals(
                "good",
                new String(
                        payload(Frames.PROBE, SampleFile.bytes(FROM_NODE + "probe-good.bin")),
                        StandardCharsets.UTF_8));
        assertEquals(
                "bad",
                new String(
                        payload(Frames.PROBE, SampleFile.bytes(FROM_NODE + "probe-bad.bin")),
                        StandardCharsets.UTF_8));
        assertEquals(
                "-",
                new String(
                        payload(Frames.LOAD_PROBE, SampleFile.bytes(FROM_NODE + "load-probe.bin")),
                        StandardCharsets.UTF_8));
        payload(Frames.UNUSABLE, SampleFile.bytes(FROM_NODE + "unusable.bin"));
    }

    private static byte[] frame(DataInputStream in) throws IOException {
        byte[] head = in.readNBytes(Frames.HEAD);
        byte[] rest = in.readNBytes(ByteBuffer.wrap(head).order(ByteOrder.LITTLE_ENDIAN).getInt());
        return ByteBuffer.allocate(head.length + rest.length).put(head).put(rest).array();
    }

    /** A whole exchange on one connection: the router writes and takes the bytes of the samples. */
    @Test
    void connectionWritesAndReadsTheSamples() throws Exception {
        route(null, null);
        DataNodes nodes =
                new DataNodes(
                        worker.getIoThread(),
                        decisions,
                        32,
                        Duration.ofSeconds(5),
                        Duration.ofSeconds(10),
                        10,
                        false);
        OpenQuery query = take(null, 3);
        Step.Send send = send(query);
        nodes.send(send.address(), send.calls());
        try (Socket router = node.accept()) {
            DataInputStream in = new DataInputStream(router.getInputStream());
            SampleFile.assertSame(TO_NODE + "call-one-part.bin", withDeadline(frame(in)));
            nodes.probe("n1", send.address());
            SampleFile.assertSame(TO_NODE + "probe.bin", frame(in));
            router.getOutputStream().write(SampleFile.bytes(FROM_NODE + "probe-good.bin"));
            router.getOutputStream().write(SampleFile.bytes(FROM_NODE + "answer-good.bin"));
            Step.Answer answer = assertInstanceOf(Step.Answer.class, decisions.pick(query));
            assertEquals(
                    "5be2a07c19f04d63",
                    new String(answer.values().get(0).text(), StandardCharsets.UTF_8));
        }
    }

    /** A frame that the node could not use, or an answer to nothing, ends the connection. */
    @ParameterizedTest
    @ValueSource(strings = {"unusable.bin", "probe-good.bin"})
    void connectionIsClosedByTheSample(String sample) throws Exception {
        route(null, null);
        DataNodes nodes =
                new DataNodes(
                        worker.getIoThread(),
                        decisions,
                        32,
                        Duration.ofSeconds(5),
                        Duration.ofSeconds(10),
                        10,
                        false);
        OpenQuery query = take(null, 3);
        Step.Send send = send(query);
        nodes.send(send.address(), send.calls());
        try (Socket router = node.accept()) {
            DataInputStream in = new DataInputStream(router.getInputStream());
            frame(in);
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
}
