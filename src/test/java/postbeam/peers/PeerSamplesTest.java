package postbeam.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import postbeam.clients.ClientLimits;
import postbeam.clients.QueryServer;
import postbeam.coordination.ElectionTimeouts;
import postbeam.coordination.LeaseGrant;
import postbeam.coordination.LeaseParameters;
import postbeam.coordination.LeaseRequest;
import postbeam.coordination.NodeIncarnation;
import postbeam.coordination.ProcessIdentity;
import postbeam.coordination.SlowStartRamp;
import postbeam.coordination.VoteRequest;
import postbeam.coordination.VoteResponse;
import postbeam.json.Json;

/**
 * Checks that messages between peers have not changed since the build whose messages were recorded.
 * JSON members have no fixed order, so objects are compared, not bytes. The incarnation ("run") in
 * the responses of a running peer is a start time, and is replaced by 0.
 */
@Timeout(30)
class PeerSamplesTest {
    private static final Path SAMPLES = Path.of("src/test/resources/samples/peers");
    private static final ProcessIdentity R2 = new ProcessIdentity("r2", 1_790_000_000_000L);
    private static final NodeIncarnation NODE = new NodeIncarnation("n:1", 7);

    private static final PeerMessageCodec.PeerRequest REQUEST =
            new PeerMessageCodec.PeerRequest(
                    "5e2ec3eaea983616",
                    R2,
                    List.of(new VoteRequest(3, 9, 4, R2), new VoteRequest(5, 1, 1, R2)),
                    Map.of(
                            3,
                            List.of(
                                    new LeaseRequest(NODE, R2, 5, 0.25, 8),
                                    new LeaseRequest(NODE, R2, 6, 1e-9, 8.5))));
    private static final PeerMessageCodec.PeerResponse RESPONSE =
            new PeerMessageCodec.PeerResponse(
                    new ProcessIdentity("r1", 2),
                    List.of(
                            new VoteResponse(3, 9, 4, "r1", true, 9),
                            new VoteResponse(5, 1, 1, "r1", false, 2)),
                    Map.of(
                            3,
                            List.of(
                                    new LeaseGrant(NODE, R2, 5, 0.125),
                                    new LeaseGrant(NODE, R2, 6, 0))));

    /**
     * Settings of one of two routers. Its timeouts are so long that it neither votes nor sends a
     * message before the test is over.
     */
    private static PeerCoordinator peer() throws Exception {
        Duration window = Duration.ofSeconds(60);
        Duration drift = Duration.ofMillis(30);
        return new PeerCoordinator(
                new FleetConfig(
                        "r1",
                        Map.of("r1", "127.0.0.1:7070", "r2", "127.0.0.1:7071"),
                        8,
                        new LeaseParameters(
                                Duration.ofMillis(600), window, drift, 0.25, 0.1, 2, 0.05),
                        new ElectionTimeouts(Duration.ofMillis(900), Duration.ofSeconds(60), drift),
                        new SlowStartRamp(0.4, 5, Duration.ofSeconds(120), window)));
    }

    private static byte[] sample(String name) throws IOException {
        return Files.readAllBytes(SAMPLES.resolve(name));
    }

    private static void assertSample(String name, byte[] encoded) throws IOException {
        assertEquals(Json.parseObject(sample(name)), Json.parseObject(encoded), name);
    }

    @Test
    void recordedRequestIsDecodedAndEncodedWithoutChange() throws IOException {
        assertEquals(REQUEST, PeerMessageCodec.decodeRequest(sample("request.json")));
        assertSample("request.json", PeerMessageCodec.encode(REQUEST));
    }

    @Test
    void recordedResponseIsDecodedAndEncodedWithoutChange() throws IOException {
        assertEquals(RESPONSE, PeerMessageCodec.decodeResponse(sample("response.json"), R2));
        assertSample("response.json", PeerMessageCodec.encode(RESPONSE));
    }

    /**
     * A peer of another build rejects messages with another digest, so the digest of given
     * parameters must not change.
     */
    @Test
    void responsesOfARunningPeerEqualTheRecordedResponses() throws Exception {
        XnioWorker worker =
                Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        QueryServer server =
                new QueryServer(
                        worker,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        null,
                        Map.of(),
                        Set.of(),
                        1,
                        new ClientLimits(8, 1 << 20));
        PeerCoordinator peer = peer();
        try {
            peer.registerHandlers(server);
            server.start();
            String request = new String(sample("request.json"), StandardCharsets.UTF_8);
            assertSample("fresh-response.json", responseTo(server, "ask", request));
            assertSample("state.json", responseTo(server, "state", ""));
            assertSample(
                    "take-response.json",
                    responseTo(
                            server, "take", "{\"node\":\"n:1\",\"incarnation\":7,\"work\":0.01}"));
            Map<String, Object> rejections = new TreeMap<>();
            rejections.put("malformed", rejectionOf(server, "[]"));
            rejections.put(
                    "unknown stripe", rejectionOf(server, request.replace("[5,1,1]", "[8,1,1]")));
            rejections.put(
                    "unknown router", rejectionOf(server, request.replace("\"r2\"", "\"r9\"")));
            rejections.put(
                    "other parameters", rejectionOf(server, request.replace("5e2e", "0000")));
            assertSample("refusals.json", PeerMessageCodec.toJson(rejections));
        } finally {
            peer.stop();
            server.stop();
            worker.shutdownNow();
        }
    }

    private static HttpResponse<String> post(QueryServer server, String path, String body)
            throws Exception {
        return HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(
                                        URI.create(
                                                "http://"
                                                        + server.address()
                                                        + "/together/v1/"
                                                        + path))
                                .POST(HttpRequest.BodyPublishers.ofString(body))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
    }

    private static byte[] responseTo(QueryServer server, String path, String body)
            throws Exception {
        HttpResponse<String> response = post(server, path, body);
        assertEquals(200, response.statusCode(), response.body());
        return response.body()
                .replaceAll("\"run\":\\d+", "\"run\":0")
                .getBytes(StandardCharsets.UTF_8);
    }

    private static List<Object> rejectionOf(QueryServer server, String body) throws Exception {
        HttpResponse<String> response = post(server, "ask", body);
        return List.of(response.statusCode(), response.body());
    }
}
