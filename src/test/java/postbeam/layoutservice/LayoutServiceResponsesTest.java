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
 * Compares the responses to a fixed sequence of requests with a stored sample: status, content type
 * and text.
 */
class LayoutServiceResponsesTest {
    private static final Duration NEVER = Duration.ofDays(1);
    private static final Duration PATIENCE = Duration.ofSeconds(20);

    @TempDir private Path dir;
    private final HttpClient client = HttpClient.newHttpClient();
    private final List<String> transcript = new ArrayList<>();

    /**
     * The JSON entries of the nodes that discovery lists. Nothing listens at their addresses, so no
     * handoff command is ever answered.
     */
    private volatile String listed = "";

    private final AtomicInteger seq = new AtomicInteger(1);
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
                                            + seq.get()
                                            + ",\"whole\":true,\"hosts\":["
                                            + listed
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
    private void ask(String method, String path, String body) throws Exception {
        HttpResponse<String> answer = send(method, path, body);
        transcript.add("> " + (method + " " + path + " " + body).strip());
        transcript.add(
                "< "
                        + answer.statusCode()
                        + " "
                        + answer.headers().firstValue("Content-Type").orElse("-"));
        transcript.addAll(
                answer.body().replaceAll("\"for_ms\":[0-9]+", "\"for_ms\":0").lines().toList());
    }

    private void get(String path) throws Exception {
        ask("GET", path, "");
    }

    private void post(String path, String body) throws Exception {
        ask("POST", path, body);
    }

    private void until(String path, String text) throws Exception {
        long end = System.nanoTime() + PATIENCE.toNanos();
        while (!send("GET", path, "").body().contains(text)) {
            assertTrue(
                    System.nanoTime() < end,
                    path + " did not return " + text + " within " + PATIENCE);
            Thread.sleep(20);
        }
    }

    private static String node(String name, String zone, String health) {
        return "{\"host\":\""
                + name
                + "\",\"dial\":\"127.0.0.1:1\",\"site\":\""
                + zone
                + "\",\"class\":\"m\",\"block\":0,\"health\":\""
                + health
                + "\",\"born_ms\":0}";
    }

    private void list(String... nodes) {
        listed = String.join(",", nodes);
        seq.incrementAndGet();
    }

    @Test
    void answersAreAsBefore() throws Exception {
        get("/v1/layout");
        get("/v1/status");
        list(
                node("n1", "z1", "up"),
                node("n2", "z2", "up"),
                node("n3", "z1", "up"),
                node("n4", "z2", "up"));
        until("/v1/layout", "version");
        layouts();
        plans();
        moves();
        migrations();
        list(
                node("n1", "z1", "removed"),
                node("n2", "z2", "draining"),
                node("n3", "z1", "up"),
                node("n4", "z2", "up"));
        until("/v1/verify", "n2 is draining");
        until("/v1/status", "node n1 is gone");
        get("/v1/status");
        get("/v1/verify");
        Samples.assertSameLines("layout-service-answers.txt", transcript);
    }

    private void layouts() throws Exception {
        get("/v1/layout");
        get("/v1/layout?index=1&wait=10");
        get("/v1/layout?index=1&wait=10&router=r1&held=1");
        get("/v1/status");
        get("/v1/verify");
        get("/v1/nothing");
    }

    private void plans() throws Exception {
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

    private void moves() throws Exception {
        post("/v1/start", "{\"split\": 0, \"at\": [100, 200]}");
        post("/v1/start", "{\"split\": 0, \"at\": [100]}");
        post("/v1/start", "{\"move\": 1, \"off\": \"n2\", \"onto\": \"n4\"}");
        until("/v1/status", "\"change\":\"move 1 from n2 to n4\",\"state\":\"COPYING\"");
        post("/v1/abandon?move=2", "");
        post("/v1/abandon?move=2", "");
        post("/v1/abandon?move=77", "");
        post("/v1/abandon", "");
        post("/v1/abandon?target=1", "");
        post(
                "/v1/start",
                "{\"slices\": [{\"from\": 0, \"to\": 100, \"nodes\": [\"n1\", \"n2\"]}]}");
        until("/v1/status", "ABANDONING");
        get("/v1/status");
    }

    private void migrations() throws Exception {
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
        until("/v1/migrations", "\"stage\":\"COPYING\"");
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
        until("/v1/migrations", "ROLLED_BACK");
        get("/v1/migrations");
        get("/v1/status");
    }
}
