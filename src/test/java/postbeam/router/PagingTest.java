package postbeam.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
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
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import postbeam.errors.ExplainedException;
import postbeam.pages.Mark;
import postbeam.pages.Order;
import postbeam.pages.PageAsked;
import postbeam.pages.PageGiven;
import postbeam.pages.Partial;
import postbeam.pages.Row;
import postbeam.pages.RowForm;
import postbeam.pages.SortKey;
import postbeam.roster.Entry;
import postbeam.roster.Told;
import postbeam.setup.Info;
import postbeam.setup.Json;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.Slicing;
import postbeam.slices.Unroutable;
import postbeam.state.Outcome;
import postbeam.state.Readiness;

/**
 * Pages by the decisions, with the test as the data nodes: what is sent, and as whose leaf call it
 * counts.
 */
class PagingTest {
    private static final Order ORDER = new Order(List.of(new SortKey("k", false, false)));
    private static final long HALF = KeyRange.KEYS / 2;
    private static final byte[] TEXT = "x".getBytes(StandardCharsets.UTF_8);

    /** Rows 0 to 19 by turns in two slices. */
    private final List<Row> rows = new ArrayList<>();

    private final Map<String, Integer> callsByKeys = new TreeMap<>();
    private Paging paging;
    private Decisions decisions;

    /** Rows that a node gives at the most, whatever it is asked for. */
    private int most = 2;

    private void router(int attempts, double free) throws IOException, ExplainedException {
        for (int i = 0; i < 20; i++) {
            rows.add(new Row(new Mark(List.of((long) i), i % 2 * HALF + i, i), "row " + i));
        }
        paging = new Paging("0a".repeat(32), null, 100);
        decisions =
                new Decisions(
                        new Info(
                                Json.object(
                                        ("{\"zone\":\"a\",\"nInstances\":1,\"domain\":{\"cells\":1,\"reach\":1},"
                                             + "\"caps\":{\"maxAttempts\":"
                                                        + attempts
                                                        + ",\"mayDuplicate\":false},\"obligations\":{\"spareAttempts\":"
                                                        + free
                                                        + ",\"budgetShare\":0.1,\"extraWindow\":600000000},\"classes\":["
                                                        + "{\"name\":\"search\",\"promise\":20000000,\"effect\":\"retryable\"},"
                                                        + "{\"name\":\"hold\",\"promise\":20000000,\"effect\":\"fragile\",\"lateWorth\":0.1}]}")
                                                .getBytes(StandardCharsets.UTF_8)),
                                ""),
                        1,
                        16,
                        Duration.ofMillis(50),
                        new Slicing(),
                        paging);
        decisions.listed(
                new Told(
                        1,
                        true,
                        List.of(new Entry("n1", "a", 0, 0, Readiness.READY)),
                        Map.of("n1", "127.0.0.1:1")));
        decisions.laidOut(Layout.first(2, List.of("n1"), 1));
    }

    private static Asked asked(String vertical, String cursor, int size) {
        return new Asked(
                "q",
                vertical,
                "acme",
                Duration.ofSeconds(30),
                cursor != null
                        ? List.of()
                        : List.of(
                                new Asked.AskedPart(0, 0.5, null),
                                new Asked.AskedPart(1, 0.5, null)),
                TEXT,
                0,
                false,
                new PageAsked(ORDER, size, cursor));
    }

    /** Serves it as a router's thread does; each call is answered at once. */
    private Step served(OpenQuery q) {
        return assertTimeoutPreemptively(
                Duration.ofSeconds(10),
                () -> {
                    while (true) {
                        decisions.due();
                        Step step = decisions.next(q);
                        if (step == null) {
                            Thread.onSpinWait();
                        } else if (step instanceof Step.Send send) {
                            for (Call call : send.calls()) {
                                decisions.report(
                                        List.of(new Ending(call, Outcome.MERGED, answer(call))));
                            }
                        } else if (!(step instanceof Step.GiveUp)) {
                            decisions.cameFor(q);
                            return step;
                        }
                    }
                });
    }

    private byte[] answer(Call call) throws IOException {
        String head = new String(call.head(), StandardCharsets.UTF_8);
        String[] keys = head.replaceAll("(?s).*,k=([0-9-]+),.*", "$1").split("-");
        KeyRange range = new KeyRange(Long.parseLong(keys[0]), Long.parseLong(keys[1]));
        callsByKeys.merge(range.toString(), 1, Integer::sum);
        int ask = Integer.parseInt(head.replaceAll("(?s).*,p=([0-9]+) .*", "$1"));
        RowForm.Asked asked =
                RowForm.asked(
                        Arrays.copyOfRange(call.text, call.text.length - ask, call.text.length));
        assertEquals("x", new String(call.text, 0, call.text.length - ask, StandardCharsets.UTF_8));
        List<Row> found =
                rows.stream()
                        .filter(
                                row ->
                                        asked.asks().stream()
                                                .anyMatch(
                                                        one ->
                                                                one.keys().from() <= row.at().key()
                                                                        && row.at().key()
                                                                                < one.keys().to()
                                                                        && (one.after() == null
                                                                                || ORDER.compare(
                                                                                                row
                                                                                                        .at(),
                                                                                                one
                                                                                                        .after())
                                                                                        > 0)))
                        .filter(
                                row ->
                                        range.from() <= row.at().key()
                                                && row.at().key() < range.to())
                        .toList();
        int give = Math.min(found.size(), most);
        return RowForm.partial(
                new Partial(
                        range,
                        found.subList(0, give),
                        give < found.size() ? found.get(give).at() : null));
    }

    private PageGiven page(String cursor, int size) throws Unroutable, InterruptedException {
        OpenQuery q = decisions.take(asked("search", cursor, size), Duration.ZERO);
        Step.Answer answer = assertInstanceOf(Step.Answer.class, served(q));
        return assertInstanceOf(
                        Step.Answer.class,
                        paging.given(
                                q,
                                answer,
                                asks -> {
                                    OpenQuery more = decisions.takeFurther(q, asks);
                                    if (more == null) {
                                        return null;
                                    }
                                    served(more);
                                    return more.paged;
                                }))
                .page();
    }

    private static List<Long> values(PageGiven page) {
        return page.page().rows().stream().map(row -> (Long) row.at().sort().get(0)).toList();
    }

    @Test
    void aPageIsFilledByFurtherAsksAndItsCursorGoesOn() throws Exception {
        router(3, 50);
        PageGiven first = page(null, 8);
        assertEquals(List.of(0L, 1L, 2L, 3L, 4L, 5L, 6L, 7L), values(first));
        assertTrue(
                callsByKeys.values().stream().allMatch(calls -> calls == 2),
                callsByKeys.toString());
        assertEquals(List.of(8L, 9L, 10L, 11L), values(page(first.cursor(), 4)));
    }

    /**
     * A part that had its calls gets no more by being asked again: the page ends where it ran out.
     */
    @Test
    void theLimitOfCallsCountsFirstAndFurtherAsksTogether() throws Exception {
        router(2, 50);
        PageGiven page = page(null, 12);
        assertEquals(
                2,
                callsByKeys.values().stream().mapToInt(calls -> calls).max().getAsInt(),
                callsByKeys.toString());
        assertTrue(page.page().isShort());
        assertEquals(List.of(0L, 1L, 2L, 3L, 4L, 5L, 6L, 7L), values(page));
        assertNotNull(page.cursor());
    }

    @Test
    void withoutABudgetNothingIsAskedAgain() throws Exception {
        router(3, 0);
        PageGiven page = page(null, 8);
        assertEquals(2, callsByKeys.values().stream().mapToInt(calls -> calls).sum());
        assertTrue(page.page().isShort());
        assertEquals(List.of(0L, 1L, 2L, 3L), values(page));
    }

    /**
     * Half of 4 is set aside for 20 queries and parts that ask again, so rule 6 leaves 2 further
     * calls and no third.
     */
    @Test
    void furtherAsksEatFromRuleSixAndLeaveWhatTheyAddToIt() throws Exception {
        router(9, 4);
        most = 1;
        int calls = 0;
        String cursor = null;
        int pages = 0;
        int given = 0;
        do {
            PageGiven page = page(cursor, 6);
            given += page.page().rows().size();
            cursor = page.cursor();
            pages++;
        } while (pages < 3);
        calls = callsByKeys.values().stream().mapToInt(count -> count).sum();
        // 3 queries of 2 parts were taken: 4 + 0.1 * 9 further calls at the most.
        assertTrue(calls - 2 * pages <= 4, calls + " calls for " + pages + " pages");
        assertTrue(given >= 2 * pages, given + " rows");
    }

    @Test
    void onlyRepeatableVerticalsGivePages() throws Exception {
        router(3, 50);
        assertEquals(
                Unroutable.Reason.NO_SUCH_SLICE,
                assertThrows(
                                Unroutable.class,
                                () -> decisions.take(asked("hold", null, 8), Duration.ZERO))
                        .reason);
    }

    @Test
    void aClientThatLeavesEndsWhatAsksAgainToo() throws Exception {
        router(3, 50);
        OpenQuery q = decisions.take(asked("search", null, 8), Duration.ZERO);
        served(q);
        OpenQuery more = decisions.takeFurther(q, q.paged.next(q.paged));
        decisions.left(q);
        Step step = decisions.next(more);
        while (step instanceof Step.Send || step instanceof Step.GiveUp) {
            step = decisions.next(more);
        }
        assertInstanceOf(Step.Over.class, step);
        assertNull(decisions.takeFurther(q, List.of()));
    }
}
