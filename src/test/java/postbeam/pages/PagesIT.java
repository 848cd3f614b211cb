package postbeam.pages;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import postbeam.json.Json;
import postbeam.slices.KeyRange;
import postbeam.testbed.cluster.LoopbackCluster;
import postbeam.testbed.fakes.FakeDataNode;
import postbeam.testbed.fakes.FakeDiscovery;
import postbeam.testbed.fakes.SortedRows;
import postbeam.testbed.verification.InvariantChecker;

/**
 * Tests pages with a layout service, data nodes and router processes that share no state: a chain
 * of pages must stay complete while slices are split, moved and merged, and while routers and nodes
 * fail.
 */
class PagesIT {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int ROUTER_COUNT = 3;
    private static final int ROW_COUNT = 400;
    private static final SortOrder ORDER =
            new SortOrder(
                    List.of(new SortKey("fare", true, true), new SortKey("to", false, false)));
    private static final String ORDER_JSON =
            "[{\"by\":\"fare\",\"descending\":true,\"missing\":\"first\"},{\"by\":\"to\"}]";

    @TempDir private Path dir;
    private final List<FakeDataNode> nodes = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final List<Process> routers = new ArrayList<>();
    private final List<String> addresses = new ArrayList<>();
    private final List<Row> rows = new ArrayList<>();
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final InvariantChecker checker =
            new InvariantChecker(LoopbackCluster.RULES, TIMEOUT, TIMEOUT);
    private FakeDiscovery discovery;
    private String serviceAddress;
    private int requestCount;

    @BeforeEach
    void startCluster() throws Exception {
        Random random = new Random(5);
        for (int i = 0; i < ROW_COUNT; i++) {
            int fare = random.nextInt(9);
            rows.add(
                    new Row(
                            new RowPosition(
                                    Arrays.asList(
                                            fare == 0 ? null : (Object) (long) fare,
                                            "city " + random.nextInt(4)),
                                    (long) (random.nextDouble() * KeyRange.KEY_SPACE_SIZE),
                                    i),
                            "seat " + i + " to K\u00f8ge"));
        }
        discovery = new FakeDiscovery();
        for (int i = 0; i < 4; i++) {
            FakeDataNode node =
                    new FakeDataNode(
                            "n" + i,
                            "z" + i % 2,
                            new FakeDataNode.Seen(
                                    checker, () -> Duration.ZERO, new ConcurrentHashMap<>()),
                            RandomSource.XO_RO_SHI_RO_128_PP.create(i),
                            false);
            node.setRows(rows);
            nodes.add(node);
            discovery.tell(node, "up", 0);
        }
        serviceAddress = freeAddress();
        String file =
                Files.readString(Path.of("deploy/postbeam.json5"))
                        .replace("127.0.0.1:7080", serviceAddress)
                        .replace("127.0.0.1:8500", discovery.address())
                        .replace("follow: {enabled: false", "follow: {enabled: true")
                        .replaceFirst("(serve: \\{\\s+enabled: )false", "$1true")
                        .replaceFirst("(pages: \\{\\s+enabled: )false", "$1true")
                        .replace("\"moves.log\"", "\"" + dir.resolve("moves.log") + "\"")
                        .replace("firstSlices: 64", "firstSlices: 4")
                        .replace("firstHolders: 3", "firstHolders: 2")
                        .replace("holders: 3", "holders: 2")
                        .replace("restMs: 30000", "restMs: 0")
                        .replace("againMs: 1000", "againMs: 50");
        String first = writeSettings("first.json5", file, "5c", "");
        start("service", "layouts", "serve", "--settings", first);
        awaitCondition(() -> layouts("verify", first).startsWith("0 sound"));
        for (int i = 0; i < ROUTER_COUNT; i++) {
            String listen = freeAddress();
            String config =
                    Files.writeString(
                                    dir.resolve("config" + i + ".json"),
                                    Files.readString(Path.of("deploy/example.json"))
                                            .replace("127.0.0.1:7070", listen)
                                            .replace("127.0.0.1:8500", discovery.address())
                                            .replaceAll("\"known\": [^]]*\\]},", "")
                                            .replace("\"classNeed\": [0.75", "\"classNeed\": [1.0")
                                            .replace(
                                                    "\"leastShare\": [0.75", "\"leastShare\": [0.4")
                                            .replace("\"quotaPerS\": 5.0", "\"quotaPerS\": 500"))
                            .toString();
            // The last router already signs with the new key.
            String settings =
                    i + 1 < ROUTER_COUNT
                            ? writeSettings("router" + i + ".json5", file, "5c", "e1")
                            : writeSettings("router" + i + ".json5", file, "e1", "5c");
            addresses.add(listen);
            routers.add(start("router" + i, "serve", "--config", config, "--settings", settings));
        }
        for (String address : addresses) {
            awaitCondition(
                    () -> {
                        try {
                            return http.send(
                                                    HttpRequest.newBuilder(
                                                                    URI.create(
                                                                            "http://"
                                                                                    + address
                                                                                    + "/healthz"))
                                                            .build(),
                                                    HttpResponse.BodyHandlers.ofString())
                                            .statusCode()
                                    == 200;
                        } catch (IOException e) {
                            return false;
                        }
                    });
        }
    }

    @AfterEach
    void stopCluster() throws InterruptedException {
        for (Process process : processes) {
            process.destroyForcibly().waitFor();
        }
        discovery.close();
        nodes.forEach(FakeDataNode::close);
    }

    private String writeSettings(String name, String file, String key, String oldKey)
            throws IOException {
        return Files.writeString(
                        dir.resolve(name),
                        file.replace(" key: \"\"", " key: \"" + key.repeat(32) + "\"")
                                .replace("oldKey: \"\"", "oldKey: \"" + oldKey.repeat(32) + "\""))
                .toString();
    }

    private static String freeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + free.getLocalPort();
        }
    }

    private Process start(String logName, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of("java", "-jar", "target/postbeam.jar"));
        command.addAll(List.of(arguments));
        Process process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(dir.resolve(logName + ".txt").toFile())
                        .start();
        processes.add(process);
        return process;
    }

    private String layouts(String subcommand, String settings, String... options)
            throws IOException, InterruptedException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                "java",
                                "-jar",
                                "target/postbeam.jar",
                                "layouts",
                                subcommand,
                                "--settings",
                                settings));
        command.addAll(List.of(options));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output =
                new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        return process.waitFor() + " " + output;
    }

    private void changeLayout(String change, String summary) throws Exception {
        String settings = dir.resolve("first.json5").toString();
        assertTrue(layouts("start", settings, "--change", change).startsWith("0 "), change);
        awaitCondition(() -> layouts("verify", settings).equals("0 sound: " + summary));
    }

    private static void awaitCondition(Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.call()) {
            assertTrue(System.nanoTime() < end, "the condition was not met within " + TIMEOUT);
            Thread.sleep(50);
        }
    }

    /** Posts a query; returns the status, a space and the body. */
    private String post(int router, String vertical, String members)
            throws IOException, InterruptedException {
        HttpResponse<String> answer =
                http.send(
                        HttpRequest.newBuilder(
                                        URI.create(
                                                "http://"
                                                        + addresses.get(router)
                                                        + "/"
                                                        + vertical
                                                        + "?obj=1"))
                                .header("Req-Id", "q" + requestCount++)
                                .header("Req-Owner", "acme")
                                .header("Req-Deadline-Ms", "7000")
                                .timeout(TIMEOUT)
                                .POST(
                                        HttpRequest.BodyPublishers.ofString(
                                                "{\"predicate\":\"x\"," + members + "}"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        return answer.statusCode() + " " + answer.body().strip();
    }

    private static String firstPageMembers(int size) {
        StringBuilder ranges = new StringBuilder();
        for (int i = 0; i < 4; i++) {
            ranges.append(i == 0 ? "" : ",")
                    .append("{\"range\":")
                    .append(i)
                    .append(",\"portion\":0.25}");
        }
        return "\"page\":" + size + ",\"order\":" + ORDER_JSON + ",\"ranges\":[" + ranges + "]";
    }

    private static String nextPageMembers(int size, String cursor) {
        return "\"page\":" + size + ",\"order\":" + ORDER_JSON + ",\"cursor\":\"" + cursor + "\"";
    }

    /**
     * Requests a page and adds its rows to the chain. Returns the response body, with the missing
     * ranges of the page as an additional member; null if the router answered 503.
     */
    private Map<String, Object> fetchPage(int router, String members, List<Row> chain)
            throws Exception {
        String response = post(router, "search", members);
        if (response.startsWith("503")) {
            return null;
        }
        assertTrue(response.startsWith("200 "), response);
        Map<String, Object> body =
                Json.parseObject(response.substring(4).getBytes(StandardCharsets.UTF_8));
        Map<?, ?> page = Json.member(body, "page", Map.class);
        assertFalse(response.contains("\"blob\""), response);
        SortOrder order = ORDER;
        List<Row> received =
                RowCodec.decodePartialPage(
                                KeyRange.ALL,
                                ("{\"rows\":"
                                                + response.substring(
                                                        response.indexOf("\"rows\":") + 7,
                                                        response.lastIndexOf(",\"short\""))
                                                + "}")
                                        .getBytes(StandardCharsets.UTF_8))
                        .rows();
        for (int i = 1; i < received.size(); i++) {
            assertTrue(
                    order.compare(received.get(i - 1).position(), received.get(i).position()) < 0,
                    "rows of a page are in the sort order");
        }
        chain.addAll(received);
        body.put("missing", page.get("missing"));
        return body;
    }

    private static String encode(List<Row> rows) {
        return new String(
                RowCodec.encodePartialPage(new PartialPage(KeyRange.ALL, rows, null)),
                StandardCharsets.UTF_8);
    }

    private List<Row> sortedRows() {
        return SortedRows.sorted(ORDER, rows, KeyRange.ALL);
    }

    @Test
    void chainOfPagesThroughSeveralRoutersIsCompleteWhileSlicesAreSplitMovedAndMerged()
            throws Exception {
        List<Row> chain = new ArrayList<>();
        Map<String, Object> page = null;
        int pages = 0;
        while (pages == 0 || page == null || page.get("cursor") != null) {
            if (pages == 2) {
                changeLayout("{\"split\": 0, \"at\": [" + (1L << 44) + "]}", "layout 2, 5 slices");
            } else if (pages == 4) {
                changeLayout(
                        "{\"move\": 2, \"off\": \"n2\", \"onto\": \"n0\"}", "layout 3, 5 slices");
                // One of the two holders sends rows out of order from now on; they must not be
                // merged.
                nodes.get(1).setSwapsRows(true);
            } else if (pages == 6) {
                changeLayout("{\"merge\": [4, 5]}", "layout 4, 4 slices");
                routers.get(0).destroyForcibly().waitFor();
            }
            int router = pages < 6 ? pages % ROUTER_COUNT : 1 + pages % (ROUTER_COUNT - 1);
            Map<String, Object> last = page;
            Map<String, Object> received =
                    fetchPage(
                            router,
                            last == null
                                    ? firstPageMembers(37)
                                    : nextPageMembers(37, (String) last.get("cursor")),
                            chain);
            if (received != null) {
                assertEquals(List.of(), received.get("missing"));
                page = received;
                pages++;
            }
            assertTrue(
                    chain.size() <= ROW_COUNT,
                    "the chain has " + chain.size() + " rows, the data nodes have " + ROW_COUNT);
        }
        assertEquals(encode(sortedRows()), encode(chain));
        assertTrue(pages >= ROW_COUNT / 37, "pages are larger than requested: " + pages + " pages");
        assertTrue(
                Files.readString(dir.resolve("router1.txt"))
                                .contains("a row out of order; check that the data node")
                        || Files.readString(dir.resolve("router2.txt"))
                                .contains("a row out of order; check that the data node"));
    }

    @Test
    void missingRangeIsReportedAndItsRowsAreReturnedOnceOnLaterPages() throws Exception {
        List<Row> chain = new ArrayList<>();
        Map<String, Object> page = fetchPage(0, firstPageMembers(50), chain);
        // These two data nodes are the only holders of one slice.
        nodes.get(0).crash();
        nodes.get(1).crash();
        page = fetchPage(1, nextPageMembers(50, (String) page.get("cursor")), chain);
        assertEquals(
                List.of(Map.of("from", 0, "to", KeyRange.KEY_SPACE_SIZE / 4)), page.get("missing"));
        assertEquals(false, page.get("total"));
        nodes.get(0).restart();
        nodes.get(1).restart();
        int router = 2;
        while (page.get("cursor") != null) {
            Map<String, Object> received =
                    fetchPage(
                            router++ % ROUTER_COUNT,
                            nextPageMembers(50, (String) page.get("cursor")),
                            chain);
            page = received == null ? page : received;
            assertTrue(
                    chain.size() <= ROW_COUNT,
                    "the chain has " + chain.size() + " rows, the data nodes have " + ROW_COUNT);
        }
        chain.sort((one, other) -> ORDER.compare(one.position(), other.position()));
        assertEquals(encode(sortedRows()), encode(chain));
    }

    @Test
    void invalidPageRequestIsRejectedBeforeAnyShardRequestIsSent() throws Exception {
        String cursor =
                (String) fetchPage(0, firstPageMembers(10), new ArrayList<>()).get("cursor");
        long callsBefore = checker.calls();
        char original = cursor.charAt(30);
        assertEquals(
                "400 the cursor is not as it was given; check that the client sends cursors back"
                        + " unchanged, and start again from the first page",
                post(
                        1,
                        "search",
                        nextPageMembers(
                                10,
                                cursor.substring(0, 30)
                                        + (original == 'A' ? 'B' : 'A')
                                        + cursor.substring(31))));
        assertTrue(
                post(
                                1,
                                "search",
                                nextPageMembers(10, cursor)
                                        .replace("\"by\":\"to\"", "\"by\":\"from\""))
                        .startsWith("400 the cursor is of another query; "));
        assertTrue(
                post(1, "search", nextPageMembers(1001, cursor))
                        .startsWith("400 page can't be used: it takes 1 to 1000 rows; "));
        assertTrue(
                post(1, "search", nextPageMembers(10, cursor).replace("true", "\"yes\""))
                        .startsWith("400 order can't be used: "));
        assertTrue(
                post(1, "hold", firstPageMembers(10))
                        .startsWith("400 vertical hold is not repeatable"));
        assertEquals(callsBefore, checker.calls());
        assertTrue(
                post(2, "search", nextPageMembers(10, cursor)).startsWith("200 "),
                "the unaltered cursor is accepted by the router that has its key as oldKey");
    }

    /**
     * The rehearse command starts a router without a settings file, which must not load any class
     * of the paging code.
     */
    @Test
    void noPagingClassIsLoadedWhenPagesAreDisabled() throws Exception {
        Path loaded = dir.resolve("loaded.txt");
        Process rehearsal =
                new ProcessBuilder(
                                "java",
                                "-Xshare:off",
                                "-Xlog:class+load:file=" + loaded,
                                "-jar",
                                "target/postbeam.jar",
                                "rehearse")
                        .redirectErrorStream(true)
                        .redirectOutput(dir.resolve("r.txt").toFile())
                        .start();
        assertEquals(0, rehearsal.waitFor());
        String classes = Files.readString(loaded);
        assertTrue(classes.contains(" postbeam.router.PolicyExecutor "));
        assertFalse(
                classes.contains(" postbeam.pages.")
                        || classes.contains(" postbeam.router.Pag")
                        || classes.contains(" postbeam.clients.Page"));
    }
}
