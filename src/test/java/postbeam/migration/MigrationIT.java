package postbeam.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
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
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.testbed.cluster.LoopbackCluster;
import postbeam.testbed.fakes.FakeDataNode;
import postbeam.testbed.fakes.FakeDiscovery;
import postbeam.testbed.verification.InvariantChecker;

/**
 * A member's migration by the built program: services killed at records or stopped and woken, with
 * holds under way.
 */
class MigrationIT {
    private static final Duration LONG = Duration.ofSeconds(60);
    private static final Duration PATIENCE = Duration.ofSeconds(6);

    @TempDir private Path dir;
    private final List<FakeDataNode> nodes = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final long startNanos = System.nanoTime();
    private final InvariantChecker checker =
            new InvariantChecker(LoopbackCluster.RULES, LONG, LONG);
    private final HttpClient http = HttpClient.newHttpClient();
    private final AtomicInteger held = new AtomicInteger();
    private final AtomicInteger turnedAway = new AtomicInteger();
    private FakeDiscovery discovery;
    private Path log;
    private String settings;
    private String service;
    private volatile boolean over;

    @BeforeEach
    void stage() throws IOException {
        discovery = new FakeDiscovery();
        // What has run is known to all of them, as if each write went to all who hold its slice.
        Map<String, Map<KeyRange, Boolean>> runs = new ConcurrentHashMap<>();
        for (int i = 0; i < 6; i++) {
            FakeDataNode node =
                    new FakeDataNode(
                            "n" + i,
                            "z" + i % 2,
                            new FakeDataNode.Seen(checker, this::now, runs),
                            RandomSource.XO_RO_SHI_RO_128_PP.create(i),
                            false);
            nodes.add(node);
            discovery.tell(node, "up", 0);
        }
        log = dir.resolve("moves.log");
        service = free();
        settings = settings("own.json5", service);
    }

    private String settings(String name, String listen) throws IOException {
        String file =
                Files.readString(Path.of("deploy/postbeam.json5"))
                        .replaceAll(
                                "(follow: \\{|serve: \\{\\s*|migration: \\{\\s*)enabled: false",
                                "$1enabled: true")
                        .replace("127.0.0.1:7080", listen)
                        .replace("127.0.0.1:8500", discovery.address())
                        .replace("\"moves.log\"", "\"" + log + "\"")
                        .replace("firstSlices: 64", "firstSlices: 4")
                        .replace("firstHolders: 3", "firstHolders: 2")
                        .replace("holders: 3", "holders: 2")
                        .replace("restMs: 30000", "restMs: 0")
                        .replace("againMs: 1000", "againMs: 50")
                        .replace("coldMs: 60000", "coldMs: 0")
                        .replace("watchMs: 600000", "watchMs: 300")
                        .replace("movesASecond: 2", "movesASecond: 100")
                        .replace("leaseMs: 15000", "leaseMs: 1500");
        return Files.writeString(dir.resolve(name), file).toString();
    }

    @AfterEach
    void giveBack() throws InterruptedException {
        over = true;
        for (Process process : processes) {
            process.destroyForcibly().waitFor();
        }
        discovery.close();
        nodes.forEach(FakeDataNode::close);
    }

    private Duration now() {
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    private static String free() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + free.getLocalPort();
        }
    }

    private Process java(String output, String... words) throws IOException {
        List<String> command = new ArrayList<>(List.of("java", "-jar", "target/postbeam.jar"));
        command.addAll(List.of(words));
        Process process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(
                                ProcessBuilder.Redirect.appendTo(dir.resolve(output).toFile()))
                        .start();
        processes.add(process);
        return process;
    }

    private Process serve() throws IOException {
        return java("service.txt", "layouts", "serve", "--settings", settings);
    }

    private String router() throws Exception {
        String listen = free();
        String config =
                Files.writeString(
                                dir.resolve("config.json"),
                                Files.readString(Path.of("deploy/example.json"))
                                        .replace("127.0.0.1:7070", listen)
                                        .replace("127.0.0.1:8500", discovery.address())
                                        .replace("\"quotaPerS\": 5.0", "\"quotaPerS\": 1000")
                                        .replaceAll("\"known\": [^]]*\\]},", ""))
                        .toString();
        java("router.txt", "serve", "--config", config, "--settings", settings);
        until(() -> get("http://" + listen + "/healthz").startsWith("200"));
        return listen;
    }

    /** The status, a space, and what was said; where nobody answers, 0. */
    private String get(String uri) throws InterruptedException {
        try {
            HttpResponse<String> answer =
                    http.send(
                            HttpRequest.newBuilder(URI.create(uri))
                                    .timeout(Duration.ofSeconds(5))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            return answer.statusCode() + " " + answer.body();
        } catch (IOException e) {
            return "0";
        }
    }

    private String migrations() throws InterruptedException {
        return get("http://" + service + "/v1/migrations");
    }

    private String layouts(String... words) throws IOException, InterruptedException {
        List<String> command =
                new ArrayList<>(List.of("java", "-jar", "target/postbeam.jar", "layouts"));
        command.addAll(List.of(words));
        command.addAll(List.of("--settings", settings, "--service", service));
        Process asked = new ProcessBuilder(command).redirectErrorStream(true).start();
        String said =
                new String(asked.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        return asked.waitFor() + " " + said;
    }

    /** What there is to see, for a test that fails. */
    private String state() {
        try {
            return migrations() + " " + Files.readString(dir.resolve("service.txt"));
        } catch (IOException | InterruptedException e) {
            return e.toString();
        }
    }

    private void until(Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + LONG.toNanos();
        while (!condition.call()) {
            assertTrue(System.nanoTime() < end, () -> "the condition did not come; " + state());
            Thread.sleep(10);
        }
    }

    /** Sends holds for slices 0 to 3, one after the other, until the test is over. */
    private Thread holds(String router) {
        checker.onLayout(Layout.initial(4, List.of("n0", "n1"), 2));
        Thread thread =
                new Thread(
                        () -> {
                            for (int i = 0; !over; i++) {
                                int slice = i % 4;
                                String id = "hold" + i;
                                KeyRange keys =
                                        new KeyRange(
                                                KeyRange.KEY_SPACE_SIZE / 4 * slice,
                                                KeyRange.KEY_SPACE_SIZE / 4 * (slice + 1));
                                checker.querySent(
                                        now(),
                                        id,
                                        "r",
                                        InvariantChecker.Kind.SIDE_EFFECTING,
                                        1,
                                        1,
                                        1,
                                        List.of(
                                                new InvariantChecker.RequestedSlice(
                                                        slice, keys, 1)),
                                        now().plus(PATIENCE));
                                try {
                                    int status =
                                            http.send(
                                                            HttpRequest.newBuilder(
                                                                            URI.create(
                                                                                    "http://"
                                                                                            + router
                                                                                            + "/hold?obj=1"))
                                                                    .header("Req-Id", id)
                                                                    .header("Req-Owner", "acme")
                                                                    .header(
                                                                            "Req-Deadline-Ms",
                                                                            "6000")
                                                                    .timeout(
                                                                            PATIENCE.plusSeconds(5))
                                                                    .POST(
                                                                            HttpRequest
                                                                                    .BodyPublishers
                                                                                    .ofString(
                                                                                            "{\"ranges\":["
                                                                                                + "{\"range\":"
                                                                                                    + slice
                                                                                                    + ",\"portion\":1}],\"predicate\":\"x\"}"))
                                                                    .build(),
                                                            HttpResponse.BodyHandlers.ofString())
                                                    .statusCode();
                                    if (status == 503 || status == 429) {
                                        checker.rejected(now(), id);
                                        turnedAway.incrementAndGet();
                                    } else if (status == 200) {
                                        held.incrementAndGet();
                                    }
                                    Thread.sleep(5);
                                } catch (IOException | InterruptedException e) {
                                    // What became of it is not known; the referee still sees
                                    // whether it runs twice.
                                }
                            }
                        },
                        "holds");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void nothingRanTwice() {
        assertEquals(
                List.of(),
                checker.violations().stream().filter(line -> line.startsWith("rule 2")).toList());
    }

    /** The checkpoint that is open: version and digest. */
    private String[] checkpoint() throws Exception {
        Matcher[] found = new Matcher[1];
        until(
                () -> {
                    found[0] =
                            Pattern.compile(
                                            "\"checkpoint\":\\{\"version\":(\\d+),\"digest\":\"(\\w+)\"")
                                    .matcher(migrations());
                    return found[0].find();
                });
        return new String[] {found[0].group(1), found[0].group(2)};
    }

    private List<String> holders(int slice) throws Exception {
        Matcher[] found = new Matcher[1];
        until(
                () -> {
                    found[0] =
                            Pattern.compile("\"slice\":" + slice + ",.*?\"holders\":\\[(.*?)\\]")
                                    .matcher(get("http://" + service + "/v1/layout"));
                    return found[0].find();
                });
        return Pattern.compile("n\\d")
                .matcher(found[0].group(1))
                .results()
                .map(one -> one.group())
                .sorted()
                .toList();
    }

    /**
     * A plan that hands slices 0 and 1 each from one of their holders to another node of its zone.
     */
    private String plan() throws Exception {
        StringBuilder hops = new StringBuilder();
        for (int slice = 0; slice < 2; slice++) {
            String from = holders(slice).get(0);
            int zone = Integer.parseInt(from.substring(1)) % 2;
            List<String> held = holders(slice);
            String to =
                    nodes.stream()
                            .map(node -> node.name)
                            .filter(
                                    name ->
                                            !held.contains(name)
                                                    && Integer.parseInt(name.substring(1)) % 2
                                                            == zone)
                            .findFirst()
                            .orElseThrow();
            hops.append(slice == 0 ? "" : ",")
                    .append("{\"move\":")
                    .append(slice)
                    .append(",\"off\":\"")
                    .append(from)
                    .append("\",\"onto\":\"")
                    .append(to)
                    .append("\"}");
        }
        return "{\"member\":\"acme\",\"hops\":[" + hops + "]}";
    }

    /**
     * Kills the service right after its log has grown so often, and starts it again, until told to
     * end.
     */
    private Thread killer(int records, AtomicInteger kills, Process[] running) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                while (!over && kills.get() < 12) {
                                    int grown = 0;
                                    long size = Files.size(log);
                                    while (!over && grown < records) {
                                        long next = Files.size(log);
                                        grown += next > size ? 1 : 0;
                                        size = next;
                                        Thread.onSpinWait();
                                    }
                                    if (!over) {
                                        running[0].destroyForcibly().waitFor();
                                        kills.incrementAndGet();
                                        running[0] = serve();
                                        until(() -> migrations().startsWith("200"));
                                    }
                                }
                            } catch (Exception e) {
                                throw new IllegalStateException(e);
                            }
                        },
                        "killer");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @Test
    void aMigrationComesToItsEndThoughTheServiceIsKilledAtItsRecords() throws Exception {
        Process[] running = {serve()};
        until(() -> get("http://" + service + "/v1/verify").startsWith("200 sound"));
        holds(router());
        until(() -> held.get() > 20);
        List<String> before = holders(0);
        String plan = plan();
        AtomicInteger kills = new AtomicInteger();
        killer(2, kills, running);
        until(
                () ->
                        layouts("migrate", "--change", plan).startsWith("0 migration 1")
                                || migrations().contains("acme"));
        String[] open = checkpoint();
        assertEquals(before, holders(0), "the old side serves");
        until(
                () ->
                        layouts(
                                        "checkpoint",
                                        "--migration",
                                        "1",
                                        "--version",
                                        open[0],
                                        "--digest",
                                        "00")
                                .contains("was opened for version"));
        until(
                () -> {
                    layouts(
                            "checkpoint",
                            "--migration",
                            "1",
                            "--version",
                            open[0],
                            "--digest",
                            open[1]);
                    return !migrations().contains("\"checkpoint\"")
                            && !migrations().startsWith("0");
                });
        String[] last = checkpoint();
        assertTrue(!holders(0).equals(before));
        until(
                () -> {
                    layouts(
                            "checkpoint",
                            "--migration",
                            "1",
                            "--version",
                            last[0],
                            "--digest",
                            last[1]);
                    return migrations().contains("RETIRED");
                });
        int heldThen = held.get();
        until(() -> held.get() > heldThen + 20);
        assertTrue(kills.get() >= 5, kills + " kills");
        until(() -> get("http://" + service + "/v1/verify").startsWith("200 sound"));
        nothingRanTwice();
    }

    @Test
    void aStoppedServiceThatWakesIsFencedAndARollbackGivesTheOldSideBack() throws Exception {
        Process first = serve();
        until(() -> get("http://" + service + "/v1/verify").startsWith("200 sound"));
        holds(router());
        until(() -> held.get() > 20);
        List<String> before = holders(0);
        nodes.get(Integer.parseInt(before.get(0).substring(1))).spoil(true);
        assertTrue(
                layouts("migrate", "--change", plan()).startsWith("0 migration 1 of acme PLANNED"));
        until(() -> migrations().contains("\"cause\":\"DIFFERS\""));
        assertTrue(
                layouts("checkpoint", "--migration", "1", "--version", "1", "--digest", "x")
                        .startsWith("1 no checkpoint of migration 1 is open"));
        nodes.forEach(node -> node.spoil(false));
        assertTrue(layouts("resume", "--migration", "1").startsWith("0 migration 1"));
        String[] open = checkpoint();
        // Its lock ends while it is stopped; a successor listens elsewhere, which this router never
        // hears of.
        assertEquals(
                0,
                new ProcessBuilder("kill", "-STOP", String.valueOf(first.pid())).start().waitFor());
        Files.delete(log.resolveSibling("moves.log.lock"));
        service = free();
        settings = settings("second.json5", service);
        serve();
        until(() -> migrations().startsWith("200"));
        assertTrue(
                layouts("checkpoint", "--migration", "1", "--version", open[0], "--digest", open[1])
                        .startsWith("0 "));
        until(() -> migrations().contains("LAST_CHECKPOINT"));
        assertTrue(!holders(0).equals(before));
        int turned = turnedAway.get();
        until(() -> turnedAway.get() > turned + 5);
        assertEquals(
                0,
                new ProcessBuilder("kill", "-CONT", String.valueOf(first.pid())).start().waitFor());
        until(
                () ->
                        Files.readString(dir.resolve("service.txt"))
                                        .contains("another service has taken over")
                                || Files.readString(dir.resolve("service.txt"))
                                        .contains("others have written to"));
        assertTrue(
                layouts("rollback", "--migration", "1")
                        .startsWith("0 migration 1 of acme ROLLING_BACK"));
        until(() -> migrations().contains("ROLLED_BACK"));
        assertEquals(before, holders(0));
        nothingRanTwice();
    }
}
