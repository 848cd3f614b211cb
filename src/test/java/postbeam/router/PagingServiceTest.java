package postbeam.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import postbeam.config.InstanceSettings;
import postbeam.dispatch.AttemptResult;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.dispatch.QueryAction;
import postbeam.dispatch.ReusedRequestIdException;
import postbeam.endpoints.Endpoint;
import postbeam.endpoints.EndpointUpdate;
import postbeam.errors.OperatorErrorException;
import postbeam.json.Json;
import postbeam.model.AttemptOutcome;
import postbeam.model.Readiness;
import postbeam.pages.PageRequest;
import postbeam.pages.PageResult;
import postbeam.pages.PartialPage;
import postbeam.pages.Row;
import postbeam.pages.RowCodec;
import postbeam.pages.RowPosition;
import postbeam.pages.SortKey;
import postbeam.pages.SortOrder;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.SliceTranslator;
import postbeam.slices.UnroutableQueryException;

/**
 * Serves pages with the test in the role of the data nodes; checks which shard requests are sent
 * and how attempts are counted.
 */
class PagingServiceTest {
    private static final SortOrder ORDER = new SortOrder(List.of(new SortKey("k", false, false)));
    private static final long HALF = KeyRange.KEY_SPACE_SIZE / 2;
    private static final byte[] PAYLOAD = "x".getBytes(StandardCharsets.UTF_8);

    /** Rows 0 to 19, alternating between two slices. */
    private final List<Row> rows = new ArrayList<>();

    private final Map<String, Integer> attemptsByKeys = new TreeMap<>();
    private PagingService paging;
    private PolicyExecutor executor;

    /** Maximum number of rows that a node returns per fetch, however many are requested. */
    private int maxRowsPerFetch = 2;

    private void createRouter(int maxAttempts, double spareAttempts)
            throws IOException, OperatorErrorException {
        for (int i = 0; i < 20; i++) {
            rows.add(new Row(new RowPosition(List.of((long) i), i % 2 * HALF + i, i), "row " + i));
        }
        paging = new PagingService("0a".repeat(32), null, 100);
        executor =
                new PolicyExecutor(
                        new InstanceSettings(
                                Json.parseObject(
                                        ("{\"zone\":\"a\",\"nInstances\":1,\"domain\":{\"cells\":1,\"reach\":1},"
                                             + "\"caps\":{\"maxAttempts\":"
                                                        + maxAttempts
                                                        + ",\"mayDuplicate\":false},\"obligations\":{\"spareAttempts\":"
                                                        + spareAttempts
                                                        + ",\"budgetShare\":0.1,\"extraWindow\":600000000},\"classes\":["
                                                        + "{\"name\":\"search\",\"promise\":20000000,\"effect\":\"retryable\"},"
                                                        + "{\"name\":\"hold\",\"promise\":20000000,\"effect\":\"fragile\",\"lateWorth\":0.1}]}")
                                                .getBytes(StandardCharsets.UTF_8)),
                                ""),
                        1,
                        16,
                        Duration.ofMillis(50),
                        new SliceTranslator(),
                        paging);
        executor.onEndpointUpdate(
                new EndpointUpdate(
                        1,
                        true,
                        List.of(new Endpoint("n1", "a", 0, 0, Readiness.READY)),
                        Map.of("n1", "127.0.0.1:1")));
        executor.onLayout(Layout.initial(2, List.of("n1"), 1));
    }

    /** Each request has an id of its own. */
    private static final AtomicInteger REQUEST_COUNT = new AtomicInteger();

    private static ClientRequest request(String queryClass, String cursor, int size) {
        return new ClientRequest(
                "q" + REQUEST_COUNT.incrementAndGet(),
                queryClass,
                "acme",
                Duration.ofSeconds(30),
                cursor != null
                        ? List.of()
                        : List.of(
                                new ClientRequest.RequestedShard(0, 0.5, null),
                                new ClientRequest.RequestedShard(1, 0.5, null)),
                PAYLOAD,
                0,
                false,
                new PageRequest(ORDER, size, cursor));
    }

    /** Runs the query as the router's query thread does; each attempt is answered at once. */
    private QueryAction serve(InFlightQuery query) {
        return assertTimeoutPreemptively(
                Duration.ofSeconds(10),
                () -> {
                    while (true) {
                        executor.runDueTimers();
                        QueryAction action = executor.pollAction(query);
                        if (action == null) {
                            Thread.onSpinWait();
                        } else if (action instanceof QueryAction.Send send) {
                            for (DispatchedAttempt attempt : send.attempts()) {
                                executor.onAttemptResults(
                                        List.of(
                                                new AttemptResult(
                                                        attempt,
                                                        AttemptOutcome.SUCCESS,
                                                        answerAsDataNode(attempt))));
                            }
                        } else if (!(action instanceof QueryAction.CancelAttempt)) {
                            return action;
                        }
                    }
                });
    }

    private byte[] answerAsDataNode(DispatchedAttempt attempt) throws IOException {
        String head = new String(attempt.frameHeader(), StandardCharsets.UTF_8);
        String[] keys = head.replaceAll("(?s).*,k=([0-9-]+),.*", "$1").split("-", -1);
        KeyRange range = new KeyRange(Long.parseLong(keys[0]), Long.parseLong(keys[1]));
        attemptsByKeys.merge(range.toString(), 1, Integer::sum);
        int fetchBytes = Integer.parseInt(head.replaceAll("(?s).*,p=([0-9]+) .*", "$1"));
        RowCodec.FetchRequest request =
                RowCodec.decodeFetchRequest(
                        Arrays.copyOfRange(
                                attempt.payload,
                                attempt.payload.length - fetchBytes,
                                attempt.payload.length));
        assertEquals(
                "x",
                new String(
                        attempt.payload,
                        0,
                        attempt.payload.length - fetchBytes,
                        StandardCharsets.UTF_8));
        List<Row> found =
                rows.stream()
                        .filter(
                                row ->
                                        request.fetches().stream()
                                                .anyMatch(
                                                        fetch ->
                                                                fetch.range().from()
                                                                                <= row.position()
                                                                                        .key()
                                                                        && row.position().key()
                                                                                < fetch.range().to()
                                                                        && (fetch.after() == null
                                                                                || ORDER.compare(
                                                                                                row
                                                                                                        .position(),
                                                                                                fetch
                                                                                                        .after())
                                                                                        > 0)))
                        .filter(
                                row ->
                                        range.from() <= row.position().key()
                                                && row.position().key() < range.to())
                        .toList();
        int rowCount = Math.min(found.size(), maxRowsPerFetch);
        return RowCodec.encodePartialPage(
                new PartialPage(
                        range,
                        found.subList(0, rowCount),
                        rowCount < found.size() ? found.get(rowCount).position() : null));
    }

    private PageResult page(String cursor, int size)
            throws UnroutableQueryException, ReusedRequestIdException, InterruptedException {
        InFlightQuery query =
                executor.accept(request("search", cursor, size), Duration.ZERO).orElseThrow();
        QueryAction.Answer answer = assertInstanceOf(QueryAction.Answer.class, serve(query));
        return assertInstanceOf(
                        QueryAction.Answer.class,
                        paging.completePage(
                                query,
                                answer,
                                fetches -> {
                                    Optional<InFlightQuery> followUp =
                                            executor.acceptFollowUp(query, fetches);
                                    followUp.ifPresent(this::serve);
                                    return followUp.map(InFlightQuery::pagedQuery);
                                }))
                .page();
    }

    private static List<Long> values(PageResult page) {
        return page.page().rows().stream()
                .map(row -> (Long) row.position().sortValues().get(0))
                .toList();
    }

    @Test
    void followUpQueriesFillThePageAndItsCursorContinuesAfterIt() throws Exception {
        createRouter(3, 50);
        PageResult first = page(null, 8);
        assertEquals(List.of(0L, 1L, 2L, 3L, 4L, 5L, 6L, 7L), values(first));
        assertTrue(
                attemptsByKeys.values().stream().allMatch(attempts -> attempts == 2),
                attemptsByKeys.toString());
        assertEquals(List.of(8L, 9L, 10L, 11L), values(page(first.cursor(), 4)));
    }

    /**
     * A shard request that has used up its attempts gets no further attempt from a follow-up query:
     * the page ends at the last row that was returned.
     */
    @Test
    void attemptLimitAppliesToTheFirstQueryAndItsFollowUpQueriesTogether() throws Exception {
        createRouter(2, 50);
        PageResult page = page(null, 12);
        assertEquals(
                2,
                attemptsByKeys.values().stream().mapToInt(attempts -> attempts).max().getAsInt(),
                attemptsByKeys.toString());
        assertTrue(page.page().truncated());
        assertEquals(List.of(0L, 1L, 2L, 3L, 4L, 5L, 6L, 7L), values(page));
        assertNotNull(page.cursor());
    }

    @Test
    void noFollowUpQueryIsSentIfTheRetryBudgetIsZero() throws Exception {
        createRouter(3, 0);
        PageResult page = page(null, 8);
        assertEquals(2, attemptsByKeys.values().stream().mapToInt(attempts -> attempts).sum());
        assertTrue(page.page().truncated());
        assertEquals(List.of(0L, 1L, 2L, 3L), values(page));
    }

    /**
     * Half of the 4 spare attempts is reserved for follow-up queries, so the retry budget leaves 2
     * retries and rejects a third.
     */
    @Test
    void followUpQueriesAndRetriesShareTheRetryBudget() throws Exception {
        createRouter(9, 4);
        maxRowsPerFetch = 1;
        String cursor = null;
        int pages = 0;
        int returnedRows = 0;
        do {
            PageResult page = page(cursor, 6);
            returnedRows += page.page().rows().size();
            cursor = page.cursor();
            pages++;
        } while (pages < 3);
        int attempts = attemptsByKeys.values().stream().mapToInt(count -> count).sum();
        // 3 queries with 2 shards each were accepted: at most 4 + 0.1 * 9 further attempts.
        assertTrue(attempts - 2 * pages <= 4, attempts + " attempts for " + pages + " pages");
        assertTrue(returnedRows >= 2 * pages, returnedRows + " rows on " + pages + " pages");
    }

    @Test
    void pageRequestForNonIdempotentQueryClassIsRejected() throws Exception {
        createRouter(3, 50);
        assertEquals(
                UnroutableQueryException.Reason.UNKNOWN_SLICE,
                assertThrows(
                                UnroutableQueryException.class,
                                () -> executor.accept(request("hold", null, 8), Duration.ZERO))
                        .reason);
    }

    @Test
    void clientDisconnectEndsFollowUpQueriesToo() throws Exception {
        createRouter(3, 50);
        InFlightQuery query =
                executor.accept(request("search", null, 8), Duration.ZERO).orElseThrow();
        serve(query);
        InFlightQuery followUp =
                executor.acceptFollowUp(query, query.pagedQuery().addRowsOf(query.pagedQuery()))
                        .orElseThrow();
        executor.clientDisconnected(query);
        QueryAction action = executor.pollAction(followUp);
        while (action instanceof QueryAction.Send || action instanceof QueryAction.CancelAttempt) {
            action = executor.pollAction(followUp);
        }
        assertInstanceOf(QueryAction.ClientDisconnected.class, action);
        assertTrue(executor.acceptFollowUp(query, List.of()).isEmpty());
    }
}
