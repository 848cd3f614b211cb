package postbeam.together;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
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
import postbeam.clients.ClientDoor;
import postbeam.setup.Json;
import postbeam.shared.Ballot;
import postbeam.shared.LeaseAsk;
import postbeam.shared.LeaseGrant;
import postbeam.shared.LeaseTerms;
import postbeam.shared.NodeKey;
import postbeam.shared.OfficeTerms;
import postbeam.shared.Ramp;
import postbeam.shared.Vote;
import postbeam.shared.Who;

/**
 * Peer messages as an earlier build wrote them, read and written again. JSON members have no fixed
 * order, so that objects are compared, not bytes. The incarnation ("run") is a start time and is
 * left out where a live peer answers.
 */
@Timeout(30)
class PeerSamplesTest {
    private static final Path SAMPLES = Path.of("src/test/resources/samples/peers");
    private static final Who R2 = new Who("r2", 1_790_000_000_000L);
    private static final NodeKey NODE = new NodeKey("n:1", 7);

    private static final PeerForm.Asks REQUEST =
            new PeerForm.Asks(
                    "5e2ec3eaea983616",
                    R2,
                    List.of(new Ballot(3, 9, 4, R2), new Ballot(5, 1, 1, R2)),
                    Map.of(
                            3,
                            List.of(
                                    new LeaseAsk(NODE, R2, 5, 0.25, 8),
                                    new LeaseAsk(NODE, R2, 6, 1e-9, 8.5))));
    private static final PeerForm.Answers RESPONSE =
            new PeerForm.Answers(
                    new Who("r1", 2),
                    List.of(new Vote(3, 9, 4, "r1", true, 9), new Vote(5, 1, 1, "r1", false, 2)),
                    Map.of(
                            3,
                            List.of(
                                    new LeaseGrant(NODE, R2, 5, 0.125),
                                    new LeaseGrant(NODE, R2, 6, 0))));

    /**
     * One of two routers, with spans so long that it neither votes nor sends before the test is
     * over.
     */
    private static Together peer() throws Exception {
        Duration window = Duration.ofSeconds(60);
        Duration drift = Duration.ofMillis(30);
        return new Together(
                new Together.Place(
                        "r1",
                        Map.of("r1", "127.0.0.1:7070", "r2", "127.0.0.1:7071"),
                        8,
                        new LeaseTerms(Duration.ofMillis(600), window, drift, 0.25, 0.1, 2, 0.05),
                        new OfficeTerms(Duration.ofMillis(900), Duration.ofSeconds(60), drift),
                        new Ramp(0.4, 5, Duration.ofSeconds(120), window)));
    }

    private static byte[] sample(String name) throws IOException {
        return Files.readAllBytes(SAMPLES.resolve(name));
    }

    private static void assertSample(String name, byte[] written) throws IOException {
        assertEquals(Json.object(sample(name)), Json.object(written), name);
    }

    @Test
    void requestIsReadAndWrittenAsBefore() throws IOException {
        assertEquals(REQUEST, PeerForm.asks(sample("request.json")));
        assertSample("request.json", PeerForm.write(REQUEST));
    }

    @Test
    void responseIsReadAndWrittenAsBefore() throws IOException {
        assertEquals(RESPONSE, PeerForm.answers(sample("response.json"), R2));
        assertSample("response.json", PeerForm.write(RESPONSE));
    }

    /**
     * A peer of an earlier build refuses messages whose digest differs, so the digest of given
     * terms is fixed.
     */
    @Test
    void livePeerAnswersEachRequestAsBefore() throws Exception {
        XnioWorker worker =
                Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        ClientDoor door =
                new ClientDoor(
                        worker,
                        new InetSocketAddress("127.0.0.1", 0),
                        null,
                        Map.of(),
                        Set.of(),
                        1,
                        8);
        Together peer = peer();
        try {
            peer.forms(door);
            door.start();
            String request = new String(sample("request.json"), StandardCharsets.UTF_8);
            assertSample("fresh-response.json", answer(door, "ask", request));
            assertSample("state.json", answer(door, "state", ""));
            assertSample(
                    "take-response.json",
                    answer(door, "take", "{\"node\":\"n:1\",\"incarnation\":7,\"work\":0.01}"));
            Map<String, Object> refusals = new TreeMap<>();
            refusals.put("malformed", refusal(door, "[]"));
            refusals.put("unknown stripe", refusal(door, request.replace("[5,1,1]", "[8,1,1]")));
            refusals.put("unknown router", refusal(door, request.replace("\"r2\"", "\"r9\"")));
            refusals.put("other terms", refusal(door, request.replace("5e2e", "0000")));
            assertSample("refusals.json", PeerForm.bytes(refusals));
        } finally {
            peer.stop();
            door.stop();
            worker.shutdownNow();
        }
    }

    private static HttpResponse<String> post(ClientDoor door, String path, String body)
            throws Exception {
        return HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(
                                        URI.create(
                                                "http://"
                                                        + door.address()
                                                        + "/together/v1/"
                                                        + path))
                                .POST(HttpRequest.BodyPublishers.ofString(body))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
    }

    private static byte[] answer(ClientDoor door, String path, String body) throws Exception {
        HttpResponse<String> response = post(door, path, body);
        assertEquals(200, response.statusCode(), response.body());
        return response.body()
                .replaceAll("\"run\":\\d+", "\"run\":0")
                .getBytes(StandardCharsets.UTF_8);
    }

    private static List<Object> refusal(ClientDoor door, String body) throws Exception {
        HttpResponse<String> response = post(door, "ask", body);
        return List.of(response.statusCode(), response.body());
    }
}
