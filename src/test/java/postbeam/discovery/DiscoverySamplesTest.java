package postbeam.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import postbeam.endpoints.Endpoint;
import postbeam.endpoints.EndpointUpdate;
import postbeam.endpoints.PollTimings;
import postbeam.json.Json;
import postbeam.model.Readiness;
import postbeam.samples.SampleFile;

/**
 * Compares the decoding of recorded lists and changes, and the requests for them, with an earlier
 * build.
 */
@Timeout(30)
class DiscoverySamplesTest {
    private static final int CELLS = 9;
    private static final Endpoint UP = new Endpoint("s-5be2a07c", "a", 3, 0, Readiness.READY);
    private static final Endpoint STARTED =
            new Endpoint("s-11aa22bb", "b", 0, 1_764_633_600_000_000L, Readiness.READY);
    private static final Endpoint REMOVED =
            new Endpoint("s-11aa22bb", "b", 0, 0, Readiness.REMOVED);
    private static final Endpoint REMOVED_BY_NAME =
            new Endpoint("s-77c0ffee", "null", 0, 0, Readiness.REMOVED);
    private static final Endpoint DRAINING =
            new Endpoint("s-5be2a07c", "a", 3, 0, Readiness.DRAINING);

    private static EndpointUpdate decode(String sample) throws IOException {
        return EndpointListCodec.decode(
                Json.parseObject(SampleFile.bytes("discovery/" + sample)), CELLS);
    }

    @ParameterizedTest
    @ValueSource(strings = {"list.json", "list-indented.json"})
    void completeListIsDecoded(String sample) throws IOException {
        assertEquals(
                new EndpointUpdate(
                        41,
                        true,
                        List.of(UP, STARTED),
                        Map.of("s-5be2a07c", "10.1.0.18:7070", "s-11aa22bb", "10.1.0.19:7070")),
                decode(sample));
    }

    @Test
    void listWithoutNodesIsDecoded() throws IOException {
        assertEquals(new EndpointUpdate(1, true, List.of(), Map.of()), decode("list-empty.json"));
    }

    @Test
    void changesAreDecoded() throws IOException {
        assertEquals(
                new EndpointUpdate(
                        43,
                        false,
                        List.of(DRAINING, REMOVED, REMOVED_BY_NAME),
                        Map.of("s-5be2a07c", "10.1.0.18:7070", "s-11aa22bb", "10.1.0.19:7070")),
                decode("changes.json"));
    }

    @Test
    void emptyChangesAreDecoded() throws IOException {
        assertEquals(
                new EndpointUpdate(41, false, List.of(), Map.of()), decode("changes-none.json"));
    }

    /**
     * Covers both requests of a watcher. The address in the recorded requests is replaced by that
     * of the test's server.
     */
    @ParameterizedTest
    @ValueSource(strings = {"agent", "server"})
    void requestsEqualTheRecordedRequests(String server) throws Exception {
        PollTimings timings =
                server.equals("agent")
                        ? PollTimings.LOCAL_AGENT
                        : PollTimings.discoveryServer(Duration.ofSeconds(10), new Random(1));
        BlockingQueue<EndpointUpdate> updates = new LinkedBlockingQueue<>();
        try (ServerSocket discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + discovery.getLocalPort();
            LongPollWatcher<EndpointUpdate> watcher =
                    EndpointListWatch.create(address, CELLS, updates::add, timings);
            FakeDiscoveryAgent.startDaemonThread(watcher::run);
            try (Socket router = discovery.accept()) {
                assertRequest("list", address, router.getInputStream());
                byte[] list = SampleFile.bytes("discovery/list.json");
                router.getOutputStream()
                        .write(
                                ("HTTP/1.1 200 OK\r\nContent-Length: " + list.length + "\r\n\r\n")
                                        .getBytes(StandardCharsets.US_ASCII));
                router.getOutputStream().write(list);
                assertRequest("watch-" + server, address, router.getInputStream());
                assertEquals(decode("list.json"), updates.take());
            } finally {
                watcher.stop();
            }
        }
    }

    private static void assertRequest(String sample, String address, InputStream in)
            throws IOException {
        StringBuilder request = new StringBuilder();
        while (!request.toString().endsWith("\r\n\r\n")) {
            request.append((char) in.read());
        }
        SampleFile.assertSame(
                "discovery/" + sample + ".request",
                request.toString()
                        .replace(address, "127.0.0.1:8500")
                        .getBytes(StandardCharsets.ISO_8859_1));
    }
}
