package postbeam.clients;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.PendingQuery;
import postbeam.dispatch.QueryAction;
import postbeam.errors.OperatorError;
import postbeam.pages.Page;
import postbeam.pages.PageRequest;
import postbeam.pages.PageResult;
import postbeam.pages.Row;
import postbeam.pages.RowPosition;
import postbeam.samples.SampleFile;
import postbeam.slices.KeyRange;
import postbeam.slices.UnroutableQueryException;

/**
 * Compares the decoding of recorded client requests and the responses to them with an earlier
 * build.
 */
@Timeout(30)
class HttpSamplesTest {
    private static final byte[] VALUE = "5be2a07c19f04d63".getBytes(StandardCharsets.UTF_8);

    /** Results of queries by request id. */
    private static final Map<String, QueryAction> RESULTS = new HashMap<>();

    static {
        List<QueryAction.ShardValue> values =
                List.of(
                        new QueryAction.ShardValue(3, VALUE, null),
                        new QueryAction.ShardValue(9, VALUE, null));
        RESULTS.put("total", new QueryAction.Answer(true, values, 0, null));
        RESULTS.put("partial", new QueryAction.Answer(false, values.subList(0, 1), 0, null));
        RESULTS.put(
                "slices",
                new QueryAction.Answer(
                        true,
                        List.of(
                                new QueryAction.ShardValue(
                                        0,
                                        VALUE,
                                        new QueryAction.KeyCoverage(
                                                0, KeyRange.KEY_SPACE_SIZE / 2, List.of(0, 1)))),
                        12,
                        null));
        Row first = new Row(new RowPosition(Arrays.asList(7L, "tea", null), 5, 1), "first \u00e4");
        Row second = new Row(new RowPosition(Arrays.asList(8L, "", null), 6, 2), "");
        RESULTS.put(
                "page",
                new QueryAction.Answer(
                        true,
                        List.of(
                                new QueryAction.ShardValue(
                                        0,
                                        null,
                                        new QueryAction.KeyCoverage(
                                                0, KeyRange.KEY_SPACE_SIZE, List.of()))),
                        12,
                        new PageResult(
                                new Page(List.of(first, second), List.of(), List.of(), false, 2),
                                "Y3Vyc29y")));
        RESULTS.put(
                "page-last",
                new QueryAction.Answer(
                        false,
                        List.of(),
                        12,
                        new PageResult(
                                new Page(
                                        List.of(first),
                                        List.of(new KeyRange(1, 9)),
                                        List.of(),
                                        true,
                                        1),
                                null)));
        RESULTS.put("rejected", new QueryAction.Reject(Duration.ZERO));
        RESULTS.put("rejected-retry-after", new QueryAction.Reject(Duration.ofMillis(350)));
        RESULTS.put("aborted", new QueryAction.Abort());
        RESULTS.put(
                "refused",
                new QueryAction.RejectWithReason(
                        new OperatorError() {
                            @Override
                            public String problem() {
                                return "the page ended";
                            }

                            @Override
                            public String remedy() {
                                return "ask for it again";
                            }
                        }));
    }

    /** A query whose result is known in advance. */
    private record CompletedQuery(QueryAction result) implements PendingQuery {
        @Override
        public QueryAction serve() {
            return result;
        }

        @Override
        public void clientDisconnected() {}

        @Override
        public void setClientCheck(Runnable check) {}
    }

    private final Map<String, ClientRequest> requests = new ConcurrentHashMap<>();
    private volatile boolean ready = true;
    private XnioWorker worker;
    private QueryServer server;

    @BeforeEach
    void setUp() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        server =
                new QueryServer(
                        worker,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        new QueryServer.QueryHandler() {
                            @Override
                            public PendingQuery submit(ClientRequest query, Duration age)
                                    throws UnroutableQueryException {
                                requests.put(query.id(), query);
                                switch (query.id()) {
                                    case "duplicate" -> {
                                        return null;
                                    }
                                    case "layout-too-old" ->
                                            throw new UnroutableQueryException(
                                                    UnroutableQueryException.Reason.LAYOUT_EXPIRED,
                                                    "layout 1 is gone");
                                    case "layout-too-new" ->
                                            throw new UnroutableQueryException(
                                                    UnroutableQueryException.Reason.LAYOUT_UNKNOWN,
                                                    "layout 9 is to come");
                                    case "layout-unknown-slice" ->
                                            throw new UnroutableQueryException(
                                                    UnroutableQueryException.Reason.UNKNOWN_SLICE,
                                                    "no slice 7");
                                    default -> {}
                                }
                                return new CompletedQuery(RESULTS.get(query.id()));
                            }

                            @Override
                            public boolean isReady() {
                                return ready;
                            }
                        },
                        Map.of("search", Duration.ofSeconds(9)),
                        Set.of("acme"),
                        16,
                        new ClientLimits(8, 1 << 20));
        server.enablePages(100);
        server.addHandler(
                "/form",
                body -> {
                    if (body.length == 0) {
                        throw new IOException("nothing was told");
                    }
                    return body;
                });
        server.start();
    }

    @AfterEach
    void tearDown() {
        server.stop();
        worker.shutdownNow();
    }

    /** Sends a request and returns the bytes of the response, which must state its length. */
    private byte[] exchange(byte[] request) throws IOException {
        try (Socket client =
                new Socket(
                        InetAddress.getLoopbackAddress(),
                        Integer.parseInt(server.address().replaceAll(".*:", "")))) {
            client.getOutputStream().write(request);
            StringBuilder head = new StringBuilder();
            int next;
            while (!head.toString().contains("\r\n\r\n")
                    && (next = client.getInputStream().read()) >= 0) {
                head.append((char) next);
            }
            int length =
                    Integer.parseInt(
                            head.toString().replaceAll("(?s).*Content-Length: ([0-9]+).*", "$1"));
            byte[] body = client.getInputStream().readNBytes(length);
            return (head + new String(body, StandardCharsets.ISO_8859_1))
                    .getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    private void assertResponseEqualsSample(String sample) throws IOException {
        SampleFile.assertSame(
                "http/" + sample + ".response",
                exchange(SampleFile.bytes("http/" + sample + ".request")));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "total",
                "partial",
                "slices",
                "page",
                "page-last",
                "rejected",
                "rejected-retry-after",
                "aborted",
                "refused",
                "duplicate",
                "layout-too-old",
                "layout-too-new",
                "layout-unknown-slice",
                "ready",
                "form",
                "form-refused",
                "no-id",
                "unknown-tenant",
                "bad-deadline",
                "bad-layout",
                "bad-ranges",
                "bad-portions",
                "bad-order",
                "bad-page",
                "no-vertical",
                "get",
                "too-large"
            })
    void responseEqualsSample(String sample) throws IOException {
        assertResponseEqualsSample(sample);
    }

    @Test
    void healthCheckResponseOfUnreadyRouterEqualsTheRecordedResponse() throws IOException {
        ready = false;
        assertResponseEqualsSample("not-ready");
    }

    @Test
    void headersAndMembersOfAQueryAreDecoded() throws IOException {
        exchange(SampleFile.bytes("http/total.request"));
        ClientRequest query = requests.get("total");
        assertEquals("search", query.queryClass());
        assertEquals("acme", query.tenant());
        assertEquals(Duration.ofMillis(480), query.timeout());
        assertEquals(
                List.of(
                        new ClientRequest.RequestedShard(3, 0.5, Duration.ofMillis(9)),
                        new ClientRequest.RequestedShard(9, 0.5, null)),
                query.requestedShards());
        assertArrayEquals("c41e77d0".getBytes(StandardCharsets.UTF_8), query.payload());
        assertEquals(0, query.layoutVersion());
        assertNull(query.pageRequest());
    }

    @Test
    void layoutRetryPageOrderAndCursorOfAQueryAreDecoded() throws IOException {
        exchange(SampleFile.bytes("http/page.request"));
        ClientRequest query = requests.get("page");
        assertEquals(11, query.layoutVersion());
        assertTrue(query.clientRetry());
        PageRequest page = query.pageRequest();
        assertEquals(20, page.size());
        assertEquals(
                "[price descending, missing first, name ascending, missing last]",
                page.order().keys().toString());
        assertNull(page.cursor());
        exchange(SampleFile.bytes("http/page-last.request"));
        assertEquals("Y3Vyc29y", requests.get("page-last").pageRequest().cursor());
        assertEquals(Duration.ofSeconds(9), requests.get("page-last").timeout());
        assertEquals(List.of(), requests.get("page-last").requestedShards());
    }
}
