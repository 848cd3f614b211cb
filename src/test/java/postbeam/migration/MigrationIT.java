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
 * Runs a member's migration with the packaged program while a router sends side-effecting queries
 * ("holds"). The layout service is killed after journal appends, or stopped and resumed while a
 * successor runs; no query may take effect twice.
 */
class MigrationIT {
    /** Limit of a wait; also the tolerance of the checker's time rules, not tested here. */
    private static final Duration CONDITION_TIMEOUT = Duration.ofSeconds(60);

    private static final Duration QUERY_DEADLINE = Duration.ofSeconds(6);

    @TempDir private Path dir;
    private final List<FakeDataNode> nodes = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final long startNanos = System.nanoTime();
    private final InvariantChecker checker =
            new InvariantChecker(LoopbackCluster.RULES, CONDITION_TIMEOUT, CONDITION_TIMEOUT);
    private final HttpClient http = HttpClient.newHttpClient();
    private final AtomicInteger completedHolds = new AtomicInteger();
    private final AtomicInteger rejectedHolds = new AtomicInteger();
    private FakeDiscovery discovery;
    private Path journal;
    private String settingsFile;
    private String service;
    private volatile boolean testEnded;

    @BeforeEach
    void setUp() throws IOException {
        discovery = new FakeDiscovery();
        // The nodes share the record of executed queries, as if each write reached all holders of
        // its slice.
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
        journal = dir.resolve("moves.log");
        service = freeAddress();
        settingsFile = writeSettings("own.json5", service);
    }

    private String writeSettings(String name, String listen) throws IOException {
        String content =
                Files.readString(Path.of("deploy/postbeam.json5"))
                        .replaceAll(
                                "(follow: \\{|serve: \\{\\s*|migration: \\{\\s*)enabled: false",
                                "$1enabled: true")
                        .replace("127.0.0.1:7080", listen)
                        .replace("127.0.0.1:8500", discovery.address())
                        .replace("\"moves.log\"", "\"" + journal + "\"")
                        .replace("firstSlices: 64", "firstSlices: 4")
                        .replace("firstHolders: 3", "firstHolders: 2")
                        .replace("holders: 3", "holders: 2")
                        .replace("restMs: 30000", "restMs: 0")
                        .replace("againMs: 1000", "againMs: 50")
                        .replace("coldMs: 60000", "coldMs: 0")
                        .replace("watchMs: 600000", "watchMs: 300")
                        .replace("movesASecond: 2", "movesASecond: 100")
                        .replace("leaseMs: 15000", "leaseMs: 1500");
        return Files.writeString(dir.resolve(name), content).toString();
    }

    @AfterEach
    void tearDown() throws InterruptedException {
        testEnded = true;
        for (Process process : processes) {
            process.destroyForcibly().waitFor();
        }
        discovery.close();
        nodes.forEach(FakeDataNode::close);
    }

    private Duration now() {
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    private static String freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    private Process startProgram(String output, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of("java", "-jar", "target/postbeam.jar"));
        command.addAll(List.of(arguments));
        Process process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(
                                ProcessBuilder.Redirect.appendTo(dir.resolve(output).toFile()))
                        .start();
        processes.add(process);
        return process;
    }

    private Process startLayoutService() throws IOException {
        return startProgram("service.txt", "layouts", "serve", "--settings", settingsFile);
    }

    private String startRouter() throws Exception {
        String listen = freeAddress();
        String config =
                Files.writeString(
                                dir.resolve("config.json"),
                                Files.readString(Path.of("deploy/example.json"))
                                        .replace("127.0.0.1:7070", listen)
                                        .replace("127.0.0.1:8500", discovery.address())
                                        .replace("\"quotaPerS\": 5.0", "\"quotaPerS\": 1000")
                                        .replaceAll("\"known\": [^]]*\\]},", ""))
                        .toString();
        startProgram("router.txt", "serve", "--config", config, "--settings", settingsFile);
        await(() -> get("http://" + listen + "/healthz").startsWith("200"));
        return listen;
    }

    /** Returns the status, a space and the body of the response; 0 if there is no response. */
    private String get(String uri) throws InterruptedException {
        try {
            HttpResponse<String> response =
                    http.send(
                            HttpRequest.newBuilder(URI.create(uri))
                                    .timeout(Duration.ofSeconds(5))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            return response.statusCode() + " " + response.body();
        } catch (IOException e) {
            return "0";
        }
    }

    private String migrations() throws InterruptedException {
        return get("http://" + service + "/v1/migrations");
    }

    /** Returns the exit code, a space and the output of a command. */
    private String runLayoutsCommand(String... arguments) throws IOException, InterruptedException {
        List<String> command =
                new ArrayList<>(List.of("java", "-jar", "target/postbeam.jar", "layouts"));
        command.addAll(List.of(arguments));
        command.addAll(List.of("--settings", settingsFile, "--service", service));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output =
                new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        return process.waitFor() + " " + output;
    }

    /** The migrations and the output of the services, for the message of a failed test. */
    private String diagnostics() {
        try {
            return migrations() + " " + Files.readString(dir.resolve("service.txt"));
        } catch (IOException | InterruptedException e) {
            return e.toString();
        }
    }

    private void await(Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + CONDITION_TIMEOUT.toNanos();
        while (!condition.call()) {
            assertTrue(
                    System.nanoTime() < end,
                    () ->
                            "the condition did not hold within "
                                    + CONDITION_TIMEOUT
                                    + "; "
                                    + diagnostics());
            Thread.sleep(10);
        }
    }

    /** Sends queries of class hold for slices 0 to 3 in turn until the test ends. */
    private Thread startHoldQueries(String routerAddress) {
        checker.onLayout(Layout.initial(4, List.of("n0", "n1"), 2));
        Thread thread =
                new Thread(
                        () -> {
                            for (int i = 0; !testEnded; i++) {
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
                                        now().plus(QUERY_DEADLINE));
                                try {
                                    int status =
                                            http.send(
                                                            HttpRequest.newBuilder(
                                                                            URI.create(
                                                                                    "http://"
                                                                                            + routerAddress
                                                                                            + "/hold?obj=1"))
                                                                    .header("Req-Id", id)
                                                                    .header("Req-Owner", "acme")
                                                                    .header(
                                                                            "Req-Deadline-Ms",
                                                                            "6000")
                                                                    .timeout(
                                                                            QUERY_DEADLINE
                                                                                    .plusSeconds(5))
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
                                        rejectedHolds.incrementAndGet();
                                    } else if (status == 200) {
                                        completedHolds.incrementAndGet();
                                    }
                                    Thread.sleep(5);
                                } catch (IOException | InterruptedException e) {
                                    // The outcome is unknown; the checker still detects a query
                                    // that runs twice.
                                }
                            }
                        },
                        "holds");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void assertNoQueryRanTwice() {
        assertEquals(
                List.of(),
                checker.violations().stream().filter(line -> line.startsWith("rule 2")).toList());
    }

    /** Waits for an open checkpoint and returns its version and digest. */
    private String[] awaitOpenCheckpoint() throws Exception {
        Matcher[] matcher = new Matcher[1];
        await(
                () -> {
                    matcher[0] =
                            Pattern.compile(
                                            "\"checkpoint\":\\{\"version\":(\\d+),\"digest\":\"(\\w+)\"")
                                    .matcher(migrations());
                    return matcher[0].find();
                });
        return new String[] {matcher[0].group(1), matcher[0].group(2)};
    }

    private List<String> holders(int slice) throws Exception {
        Matcher[] matcher = new Matcher[1];
        await(
                () -> {
                    matcher[0] =
                            Pattern.compile("\"slice\":" + slice + ",.*?\"holders\":\\[(.*?)\\]")
                                    .matcher(get("http://" + service + "/v1/layout"));
                    return matcher[0].find();
                });
        return Pattern.compile("n\\d")
                .matcher(matcher[0].group(1))
                .results()
                .map(match -> match.group())
                .sorted()
                .toList();
    }

    /**
     * Returns a plan that moves slices 0 and 1 each from one of their holders to another node of
     * its zone.
     */
    private String migrationPlan() throws Exception {
        StringBuilder hops = new StringBuilder();
        for (int slice = 0; slice < 2; slice++) {
            String source = holders(slice).get(0);
            int zone = Integer.parseInt(source.substring(1)) % 2;
            List<String> holders = holders(slice);
            String target =
                    nodes.stream()
                            .map(node -> node.name)
                            .filter(
                                    name ->
                                            !holders.contains(name)
                                                    && Integer.parseInt(name.substring(1)) % 2
                                                            == zone)
                            .findFirst()
                            .orElseThrow();
            hops.append(slice == 0 ? "" : ",")
                    .append("{\"move\":")
                    .append(slice)
                    .append(",\"off\":\"")
                    .append(source)
                    .append("\",\"onto\":\"")
                    .append(target)
                    .append("\"}");
        }
        return "{\"member\":\"acme\",\"hops\":[" + hops + "]}";
    }

    /**
     * Kills the layout service as soon as its journal has grown this many times and starts it
     * again, until the test ends or the service has been killed 12 times.
     */
    private Thread startServiceKiller(
            int appendsBeforeKill, AtomicInteger kills, Process[] running) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                while (!testEnded && kills.get() < 12) {
                                    int appends = 0;
                                    long size = Files.size(journal);
                                    while (!testEnded && appends < appendsBeforeKill) {
                                        long next = Files.size(journal);
                                        appends += next > size ? 1 : 0;
                                        size = next;
                                        Thread.onSpinWait();
                                    }
                                    if (!testEnded) {
                                        running[0].destroyForcibly().waitFor();
                                        kills.incrementAndGet();
                                        running[0] = startLayoutService();
                                        await(() -> migrations().startsWith("200"));
                                    }
                                }
                            } catch (Exception e) {
                                throw new IllegalStateException(e);
                            }
                        },
                        "service killer");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @Test
    void migrationRetiresWhenTheServiceIsKilledAfterJournalAppends() throws Exception {
        Process[] running = {startLayoutService()};
        await(() -> get("http://" + service + "/v1/verify").startsWith("200 sound"));
        startHoldQueries(startRouter());
        await(() -> completedHolds.get() > 20);
        List<String> oldHolders = holders(0);
        String plan = migrationPlan();
        AtomicInteger kills = new AtomicInteger();
        startServiceKiller(2, kills, running);
        await(
                () ->
                        runLayoutsCommand("migrate", "--change", plan).startsWith("0 migration 1")
                                || migrations().contains("acme"));
        String[] open = awaitOpenCheckpoint();
        assertEquals(
                oldHolders, holders(0), "the old holders serve until the checkpoint is passed");
        await(
                () ->
                        runLayoutsCommand(
                                        "checkpoint",
                                        "--migration",
                                        "1",
                                        "--version",
                                        open[0],
                                        "--digest",
                                        "00")
                                .contains("was opened for version"));
        await(
                () -> {
                    runLayoutsCommand(
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
        String[] last = awaitOpenCheckpoint();
        assertTrue(!holders(0).equals(oldHolders));
        await(
                () -> {
                    runLayoutsCommand(
                            "checkpoint",
                            "--migration",
                            "1",
                            "--version",
                            last[0],
                            "--digest",
                            last[1]);
                    return migrations().contains("RETIRED");
                });
        int completedBefore = completedHolds.get();
        await(() -> completedHolds.get() > completedBefore + 20);
        assertTrue(kills.get() >= 5, "expected at least 5 kills, got " + kills);
        await(() -> get("http://" + service + "/v1/verify").startsWith("200 sound"));
        assertNoQueryRanTwice();
    }

    @Test
    void resumedServiceIsFencedBySuccessorAndRollbackRestoresOldHolders() throws Exception {
        Process stoppedService = startLayoutService();
        await(() -> get("http://" + service + "/v1/verify").startsWith("200 sound"));
        startHoldQueries(startRouter());
        await(() -> completedHolds.get() > 20);
        List<String> oldHolders = holders(0);
        nodes.get(Integer.parseInt(oldHolders.get(0).substring(1))).spoil(true);
        assertTrue(
                runLayoutsCommand("migrate", "--change", migrationPlan())
                        .startsWith("0 migration 1 of acme PLANNED"));
        await(() -> migrations().contains("\"cause\":\"DIFFERS\""));
        assertTrue(
                runLayoutsCommand(
                                "checkpoint", "--migration", "1", "--version", "1", "--digest", "x")
                        .startsWith("1 no checkpoint of migration 1 is open"));
        nodes.forEach(node -> node.spoil(false));
        assertTrue(runLayoutsCommand("resume", "--migration", "1").startsWith("0 migration 1"));
        String[] open = awaitOpenCheckpoint();
        // Without the lock file of the stopped service a successor can start. It listens at another
        // address, which the router does not learn of.
        assertEquals(
                0,
                new ProcessBuilder("kill", "-STOP", String.valueOf(stoppedService.pid()))
                        .start()
                        .waitFor());
        Files.delete(journal.resolveSibling("moves.log.lock"));
        service = freeAddress();
        settingsFile = writeSettings("second.json5", service);
        startLayoutService();
        await(() -> migrations().startsWith("200"));
        assertTrue(
                runLayoutsCommand(
                                "checkpoint",
                                "--migration",
                                "1",
                                "--version",
                                open[0],
                                "--digest",
                                open[1])
                        .startsWith("0 "));
        await(() -> migrations().contains("LAST_CHECKPOINT"));
        assertTrue(!holders(0).equals(oldHolders));
        int rejectedBefore = rejectedHolds.get();
        await(() -> rejectedHolds.get() > rejectedBefore + 5);
        assertEquals(
                0,
                new ProcessBuilder("kill", "-CONT", String.valueOf(stoppedService.pid()))
                        .start()
                        .waitFor());
        await(
                () ->
                        Files.readString(dir.resolve("service.txt"))
                                        .contains("another service has taken over")
                                || Files.readString(dir.resolve("service.txt"))
                                        .contains("others have written to"));
        assertTrue(
                runLayoutsCommand("rollback", "--migration", "1")
                        .startsWith("0 migration 1 of acme ROLLING_BACK"));
        await(() -> migrations().contains("ROLLED_BACK"));
        assertEquals(oldHolders, holders(0));
        assertNoQueryRanTwice();
    }
}
