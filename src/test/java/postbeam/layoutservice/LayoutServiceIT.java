package postbeam.layoutservice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.Proxy;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import postbeam.slices.KeyRange;
import postbeam.testbed.cluster.LoopbackCluster;
import postbeam.testbed.fakes.FakeDataNode;
import postbeam.testbed.fakes.FakeDiscovery;
import postbeam.testbed.fakes.LoopbackAddresses;
import postbeam.testbed.verification.InvariantChecker;

/**
 * Runs the built program as an operator does: the layout service and its commands, and a service
 * that is killed and restarted.
 */
class LayoutServiceIT {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    @TempDir private Path dir;
    private final List<FakeDataNode> nodes = new ArrayList<>();
    private FakeDiscovery discovery;
    private Process service;
    private String settings;

    @BeforeEach
    void startPeersAndWriteSettings() throws IOException {
        discovery = new FakeDiscovery();
        InvariantChecker checker = new InvariantChecker(LoopbackCluster.RULES, TIMEOUT, TIMEOUT);
        for (int i = 0; i < 4; i++) {
            FakeDataNode node =
                    new FakeDataNode(
                            "n" + i,
                            "z" + i % 2,
                            new FakeDataNode.Seen(
                                    checker, () -> Duration.ZERO, new ConcurrentHashMap<>()),
                            RandomSource.XO_RO_SHI_RO_128_PP.create(i),
                            false);
            nodes.add(node);
            discovery.tell(node, "up", 0);
        }
        String listen = findFreeAddress();
        String file =
                Files.readString(Path.of("deploy/postbeam.json5"))
                        .replace("enabled: false", "enabled: true")
                        .replace("127.0.0.1:7080", listen)
                        .replace("127.0.0.1:8500", discovery.address())
                        .replace("\"moves.log\"", "\"" + dir.resolve("moves.log") + "\"")
                        .replace("firstSlices: 64", "firstSlices: 4")
                        .replace(" key: \"\"", " key: \"" + "5c".repeat(32) + "\"")
                        .replace("firstHolders: 3", "firstHolders: 2")
                        .replace("holders: 3", "holders: 2")
                        .replace("restMs: 30000", "restMs: 0")
                        .replace("history: 64", "history: 1")
                        .replace("againMs: 1000", "againMs: 50");
        settings = Files.writeString(dir.resolve("own.json5"), file).toString();
    }

    @AfterEach
    void stopAll() throws InterruptedException {
        if (service != null) {
            service.destroyForcibly().waitFor();
        }
        discovery.close();
        nodes.forEach(FakeDataNode::close);
    }

    /**
     * Returns HOST:PORT for a listener. The host is used by this process alone: on a shared one
     * another process could take the port before the program under test listens.
     */
    private static String findFreeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, LoopbackAddresses.next())) {
            return free.getInetAddress().getHostAddress() + ":" + free.getLocalPort();
        }
    }

    private static List<String> javaCommand(String... arguments) {
        List<String> command = new ArrayList<>(List.of("java", "-jar", "target/postbeam.jar"));
        command.addAll(List.of(arguments));
        return command;
    }

    private void serve() throws IOException {
        service =
                new ProcessBuilder(javaCommand("layouts", "serve", "--settings", settings))
                        .redirectErrorStream(true)
                        .redirectOutput(dir.resolve("service.txt").toFile())
                        .start();
    }

    /** Runs the sub-command; returns its exit status, a space and its output. */
    private String layouts(String... arguments) throws IOException, InterruptedException {
        List<String> command = javaCommand("layouts");
        command.addAll(List.of(arguments));
        command.addAll(List.of("--settings", settings));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output =
                new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        return process.waitFor() + " " + output;
    }

    private static void awaitCondition(Callable<Boolean> condition) throws Exception {
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.call()) {
            assertTrue(
                    System.nanoTime() < deadlineNanos,
                    "the condition did not hold within " + TIMEOUT);
            Thread.sleep(50);
        }
    }

    @Test
    void operatorsPlanStartAndAbandonMovesAndARestartedServiceResumesThem() throws Exception {
        serve();
        awaitCondition(() -> layouts("verify").equals("0 sound: layout 1, 4 slices"));
        assertEquals(
                "0 possible: split 0 at [100]",
                layouts("plan", "--change", "{\"split\": 0, \"at\": [100]}"));
        assertEquals(
                "1 there is no slice 9",
                layouts("plan", "--change", "{\"split\": 9, \"at\": [100]}"));
        assertEquals(
                "1 gap: no slice holds the keys 100-281474976710656",
                layouts(
                        "start",
                        "--change",
                        "{\"slices\": [{\"from\": 0, \"to\": 100, \"nodes\": [\"n0\", \"n1\"]}]}"));
        assertEquals("2 layouts start: give --file or --change", layouts("start"));
        assertEquals("1 no move 5 is under way", layouts("abandon", "--move", "5"));
        assertEquals(
                "0 move 1: split 0 at [100]",
                layouts("start", "--change", "{\"split\": 0, \"at\": [100]}"));
        awaitCondition(() -> layouts("verify").equals("0 sound: layout 2, 5 slices"));
        nodes.get(2).setHanging(true);
        assertEquals(
                "0 move 2: move 4 from n0 to n2",
                layouts("start", "--change", "{\"move\": 4, \"off\": \"n0\", \"onto\": \"n2\"}"));
        awaitCondition(() -> layouts("status").contains("COPYING"));
        service.destroyForcibly().waitFor();
        serve();
        awaitCondition(() -> layouts("status").contains("COPYING"));
        assertEquals("0 move 2 is being abandoned", layouts("abandon", "--move", "2"));
        nodes.get(2).setHanging(false);
        awaitCondition(() -> layouts("status").contains("ABANDONED"));
        awaitCondition(() -> layouts("verify").equals("0 sound: layout 3, 5 slices"));
        assertTrue(layouts("show").contains("\"version\":3"));
        assertTrue(
                Files.readString(dir.resolve("service.txt"))
                        .contains("5 slices, 1 moves under way"));
    }

    @Test
    void routerFollowsTheLayoutAndRejectsQueriesItCannotRoute() throws Exception {
        serve();
        awaitCondition(() -> layouts("verify").startsWith("0 sound"));
        String listen = findFreeAddress();
        String config =
                Files.writeString(
                                dir.resolve("config.json"),
                                Files.readString(Path.of("deploy/example.json"))
                                        .replace("127.0.0.1:7070", listen)
                                        .replace("127.0.0.1:8500", discovery.address())
                                        .replaceAll("\"known\": [^]]*\\]},", ""))
                        .toString();
        Process router =
                new ProcessBuilder(javaCommand("serve", "--config", config, "--settings", settings))
                        .redirectErrorStream(true)
                        .redirectOutput(dir.resolve("router.txt").toFile())
                        .start();
        try {
            awaitCondition(
                    () -> {
                        try {
                            return HttpClient.newHttpClient()
                                            .send(
                                                    HttpRequest.newBuilder(
                                                                    URI.create(
                                                                            "http://"
                                                                                    + listen
                                                                                    + "/healthz"))
                                                            .build(),
                                                    HttpResponse.BodyHandlers.ofString())
                                            .statusCode()
                                    == 200;
                        } catch (IOException e) {
                            return false;
                        }
                    });
            assertTrue(query(listen, 1, 0).startsWith("200 {\"total\":true,\"layout\":1,"));
            layouts("start", "--change", "{\"split\": 0, \"at\": [100]}");
            awaitCondition(() -> query(listen, 2, 4).startsWith("200"));
            // A query of class search is complete with three quarters of its weight; one of class
            // hold needs all keys.
            String holdResponse = query(listen, "/hold?obj=1", 1, 0);
            assertTrue(holdResponse.startsWith("200 {\"total\":true,"), holdResponse);
            assertTrue(
                    holdResponse.contains("\"from\":0,\"to\":100,\"named\":[0]")
                            && holdResponse.contains("\"range\":5,\"from\":100"),
                    holdResponse);
            assertEquals("400 layout 2 has no slice 0", query(listen, 2, 0));
            assertEquals("503 0.2 layout 9 is not known yet; 2 is", query(listen, 9, 0));
            assertEquals("400 Req-Layout can't be used", query(listen, -1, 0));
            // The service keeps one earlier layout version: publishing the third layout removes the
            // first.
            layouts(
                    "start",
                    "--change",
                    "{\"split\": 1, \"at\": [" + (KeyRange.KEY_SPACE_SIZE / 3) + "]}");
            awaitCondition(
                    () ->
                            query(listen, 1, 0)
                                    .equals("410 layout 1 is no longer kept; 3 is in force"));
            service.destroyForcibly().waitFor();
            assertTrue(query(listen, 2, 5).startsWith("200"), "the router keeps its layout");
        } finally {
            router.destroyForcibly().waitFor();
        }
    }

    /** Sends a query; returns the status, the Retry-After header if present, and the body. */
    private static String query(String router, long version, int slice)
            throws IOException, InterruptedException {
        return query(router, "/search?obj=1", version, slice);
    }

    private static String query(String router, String path, long version, int slice)
            throws IOException, InterruptedException {
        HttpResponse<String> response =
                HttpClient.newHttpClient()
                        .send(
                                HttpRequest.newBuilder(URI.create("http://" + router + path))
                                        .header("Req-Id", "q" + System.nanoTime())
                                        .header("Req-Owner", "acme")
                                        .header("Req-Deadline-Ms", "3000")
                                        .header("Req-Layout", String.valueOf(version))
                                        .POST(
                                                HttpRequest.BodyPublishers.ofString(
                                                        "{\"ranges\":[{\"range\":"
                                                                + slice
                                                                + ",\"portion\":1}],"
                                                                + "\"predicate\":\"x\"}"))
                                        .build(),
                                HttpResponse.BodyHandlers.ofString());
        return response.statusCode()
                + " "
                + response.headers().firstValue("Retry-After").map(wait -> wait + " ").orElse("")
                + response.body().strip();
    }

    @Test
    void secondServiceOnTheSameJournalIsRejected() throws Exception {
        serve();
        awaitCondition(() -> layouts("verify").startsWith("0 sound"));
        String other =
                Files.writeString(
                                dir.resolve("other.json5"),
                                Files.readString(Path.of(settings))
                                        .replaceAll(
                                                "listen: \"127.0.0.1:[0-9]+\"",
                                                "listen: \"127.0.0.1:1\""))
                        .toString();
        Process second =
                new ProcessBuilder(javaCommand("layouts", "serve", "--settings", other))
                        .redirectErrorStream(true)
                        .start();
        assertTrue(
                new String(second.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                        .contains("in use"));
        assertEquals(1, second.waitFor());
    }

    @Test
    void tryCommandAnswersTheQueryItPrints() throws Exception {
        Process tryProcess =
                new ProcessBuilder(javaCommand("try", "--seconds", "20"))
                        .redirectErrorStream(true)
                        .start();
        try (var out = tryProcess.inputReader()) {
            String line;
            String curl = null;
            while (curl == null && (line = out.readLine()) != null) {
                curl = line.contains("curl -i") ? line.strip() : null;
            }
            // Limit 0 drops the empty string after the last quote, so that the body is last.
            String[] quoted = curl.split("'", 0);
            HttpURLConnection connection =
                    (HttpURLConnection)
                            URI.create(quoted[1]).toURL().openConnection(Proxy.NO_PROXY);
            for (int i = 3; i < quoted.length - 2; i += 2) {
                connection.setRequestProperty(
                        quoted[i].split(": ", -1)[0], quoted[i].split(": ", -1)[1]);
            }
            connection.setDoOutput(true);
            connection
                    .getOutputStream()
                    .write(quoted[quoted.length - 1].getBytes(StandardCharsets.UTF_8));
            assertEquals(200, connection.getResponseCode());
            assertTrue(
                    new String(connection.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                            .contains("\"total\":true"));
        } finally {
            tryProcess.destroyForcibly().waitFor();
        }
    }

    @Test
    void trialCommandListsTrialsAndReportsErrorsInItsExitStatus() throws Exception {
        for (Map.Entry<String, Integer> argumentsAndStatus :
                Map.of(
                                "--list",
                                0,
                                "nothing",
                                2,
                                "recuts --plant x",
                                2,
                                "recuts --seeds x",
                                2,
                                "recuts --seeds 1-2",
                                0,
                                "recuts --seeds 1-2 --plant back",
                                1)
                        .entrySet()) {
            List<String> command = javaCommand("trial");
            command.addAll(List.of(argumentsAndStatus.getKey().split(" ")));
            Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
            String output =
                    new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(argumentsAndStatus.getValue(), process.waitFor(), output);
        }
    }
}
