package postbeam.layoutservice;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import postbeam.migration.MigrationLimits;
import postbeam.slices.MoveLimits;

/**
 * Compares the responses to a fixed sequence of requests with recorded responses: status, content
 * type and text.
 */
class LayoutServiceResponsesTest {
    private static final Duration NEVER = Duration.ofDays(1);
    private static final Duration WAIT_LIMIT = Duration.ofSeconds(20);

    @TempDir private Path dir;
    private final HttpClient client = HttpClient.newHttpClient();
    private final List<String> transcript = new ArrayList<>();

    /**
     * The JSON entries of the nodes that discovery lists. Nothing listens at their addresses, so no
     * handoff command is ever answered.
     */
    private volatile String listedNodes = "";

    private final AtomicInteger endpointListVersion = new AtomicInteger(1);
    private HttpServer discovery;
    private LayoutService service;

    @BeforeEach
    void start() throws IOException {
        discovery =
                HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        discovery.setExecutor(Executors.newCachedThreadPool());
        discovery.createContext(
                "/",
                exchange -> {
                    byte[] body =
                            ("{\"seq\":"
                                            + endpointListVersion.get()
                                            + ",\"whole\":true,\"hosts\":["
                                            + listedNodes
                                            + "]}")
                                    .getBytes(StandardCharsets.UTF_8);
                    exchange.sendResponseHeaders(200, body.length);
                    exchange.getResponseBody().write(body);
                    exchange.close();
                });
        discovery.start();
        service =
                new LayoutService(
                        new LayoutService.Config(
                                "127.0.0.1:0",
                                dir.resolve("journal.bin"),
                                "127.0.0.1:" + discovery.getAddress().getPort(),
                                4,
                                new MoveLimits(
                                        3,
                                        3,
                                        3,
                                        NEVER,
                                        NEVER,
                                        Duration.ZERO,
                                        Duration.ofSeconds(1),
                                        2,
                                        1),
                                4,
                                2,
                                new MigrationLimits(
                                        1,
                                        1,
                                        1000,
                                        1L << 40,
                                        NEVER,
                                        Duration.ZERO,
                                        NEVER,
                                        0.5,
                                        Duration.ofSeconds(1),
                                        3,
                                        1,
                                        Duration.ofSeconds(3),
                                        Duration.ofSeconds(1))));
        service.start();
    }

    @AfterEach
    void stop() throws IOException {
        service.close();
        discovery.stop(0);
    }

    private HttpResponse<String> send(String method, String path, String body) throws Exception {
        return client.send(
                HttpRequest.newBuilder(URI.create("http://" + service.address() + path))
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a request and records it with its response; durations are replaced by 0. */
    private void sendAndRecord(String method, String path, String body) throws Exception {
        HttpResponse<String> response = send(method, path, body);
        transcript.add("> " + (method + " " + path + " " + body).strip());
        transcript.add(
                "< "
                        + response.statusCode()
                        + " "
                        + response.headers().firstValue("Content-Type").orElse("-"));
        transcript.addAll(
                response.body().replaceAll("\"for_ms\":[0-9]+", "\"for_ms\":0").lines().toList());
    }

    private void get(String path) throws Exception {
        sendAndRecord("GET", path, "");
    }

    private void post(String path, String body) throws Exception {
        sendAndRecord("POST", path, body);
    }

    private void awaitBodyContaining(String path, String text) throws Exception {
        long deadlineNanos = System.nanoTime() + WAIT_LIMIT.toNanos();
        while (!send("GET", path, "").body().contains(text)) {
            assertTrue(
                    System.nanoTime() < deadlineNanos,
                    path + " did not return " + text + " within " + WAIT_LIMIT);
            Thread.sleep(20);
        }
    }

    private static String nodeEntry(String name, String zone, String health) {
        return "{\"host\":\""
                + name
                + "\",\"dial\":\"127.0.0.1:1\",\"site\":\""
                + zone
                + "\",\"class\":\"m\",\"block\":0,\"health\":\""
                + health
                + "\",\"born_ms\":0}";
    }

    private void listNodes(String... nodes) {
        listedNodes = String.join(",", nodes);
        endpointListVersion.incrementAndGet();
    }

    @Test
    void responsesToAFixedRequestSequenceEqualTheRecordedResponses() throws Exception {
        get("/v1/layout");
        get("/v1/status");
        listNodes(
                nodeEntry("n1", "z1", "up"),
                nodeEntry("n2", "z2", "up"),
                nodeEntry("n3", "z1", "up"),
                nodeEntry("n4", "z2", "up"));
        awaitBodyContaining("/v1/layout", "version");
        requestLayouts();
        requestPlans();
        requestMoves();
        requestMigrations();
        listNodes(
                nodeEntry("n1", "z1", "removed"),
                nodeEntry("n2", "z2", "draining"),
                nodeEntry("n3", "z1", "up"),
                nodeEntry("n4", "z2", "up"));
        awaitBodyContaining("/v1/verify", "n2 is draining");
        awaitBodyContaining("/v1/status", "node n1 is gone");
        get("/v1/status");
        get("/v1/verify");
        Samples.assertSameLines("layout-service-answers.txt", transcript);
    }

    private void requestLayouts() throws Exception {
        get("/v1/layout");
        get("/v1/layout?index=1&wait=10");
        get("/v1/layout?index=1&wait=10&router=r1&held=1");
        get("/v1/status");
        get("/v1/verify");
        get("/v1/nothing");
    }

    private void requestPlans() throws Exception {
        post("/v1/plan", "{\"split\": 0, \"at\": [100]}");
        post("/v1/plan", "{\"merge\": [0, 1]}");
        post("/v1/plan", "{\"move\": 0, \"off\": \"n1\", \"onto\": \"n3\"}");
        post("/v1/plan", "{\"move\": 0, \"off\": \"n1\", \"onto\": \"n9\"}");
        post("/v1/plan", "{\"move\": 0, \"off\": \"n1\"}");
        post("/v1/plan", "{\"split\": 9, \"at\": [100]}");
        post("/v1/plan", "{\"split\": 0, \"at\": [0]}");
        post("/v1/plan", "{\"split\": 0, \"at\": [\"x\"]}");
        post("/v1/plan", "{\"move\": 0}");
        post("/v1/plan", "{\"merge\": [0]}");
        post("/v1/plan", "{}");
        post("/v1/plan", "no JSON");
        post("/v1/plan", "{\"slices\": []}");
        post(
                "/v1/plan",
                "{\"slices\": [{\"from\": 0, \"to\": 281474976710656, \"nodes\": [\"n1\","
                        + " \"n2\"]}]}");
        post(
                "/v1/plan",
                "{\"slices\": [{\"from\": 0, \"to\": 200, \"nodes\": [\"n1\", \"n1\", \"n9\"]}]}");
    }

    private void requestMoves() throws Exception {
        post("/v1/start", "{\"split\": 0, \"at\": [100, 200]}");
        post("/v1/start", "{\"split\": 0, \"at\": [100]}");
        post("/v1/start", "{\"move\": 1, \"off\": \"n2\", \"onto\": \"n4\"}");
        awaitBodyContaining(
                "/v1/status", "\"change\":\"move 1 from n2 to n4\",\"state\":\"COPYING\"");
        post("/v1/abandon?move=2", "");
        post("/v1/abandon?move=2", "");
        post("/v1/abandon?move=77", "");
        post("/v1/abandon", "");
        post("/v1/abandon?target=1", "");
        post(
                "/v1/start",
                "{\"slices\": [{\"from\": 0, \"to\": 100, \"nodes\": [\"n1\", \"n2\"]}]}");
        awaitBodyContaining("/v1/status", "ABANDONING");
        get("/v1/status");
    }

    private void requestMigrations() throws Exception {
        get("/v1/migrations");
        post(
                "/v1/migrate",
                "{\"member\": \"gold\", \"hops\": [{\"move\": 2, \"off\": \"n9\", \"onto\":"
                        + " \"n1\"}]}");
        post("/v1/migrate", "{\"member\": \"gold\"}");
        post("/v1/migrate", "{\"member\": \"\", \"hops\": []}");
        post(
                "/v1/migrate",
                "{\"member\": \"gold\", \"hops\": [{\"move\": 2, \"off\": \"n3\", \"onto\":"
                        + " \"n1\"}]}");
        awaitBodyContaining("/v1/migrations", "\"stage\":\"COPYING\"");
        get("/v1/migrations");
        post("/v1/pause?migration=1", "");
        post("/v1/pause?migration=x", "");
        post("/v1/pause", "");
        get("/v1/migrations");
        post("/v1/resume?migration=1", "");
        post("/v1/resume?migration=1", "");
        post("/v1/checkpoint?migration=1&version=1&digest=ab", "");
        post("/v1/checkpoint?migration=1&version=1", "");
        post("/v1/utility?member=gold&permille=900", "");
        post("/v1/rollback?migration=1", "");
        post("/v1/rollback?migration=9", "");
        awaitBodyContaining("/v1/migrations", "ROLLED_BACK");
        get("/v1/migrations");
        get("/v1/status");
    }
}
