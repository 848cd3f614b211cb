package postbeam.pages;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import postbeam.slices.KeyRange;

class PageAssemblerPropertyTest {
    private static RowPosition mark(Random chance, int keys) {
        List<Object> sort = new ArrayList<>();
        for (int i = 0; i < keys; i++) {
            int kind = chance.nextInt(4);
            sort.add(
                    kind == 0
                            ? null
                            : kind == 1
                                    ? (Object) (long) (chance.nextInt(5) - 2)
                                    : new String(
                                            Character.toChars(
                                                    kind == 2
                                                            ? 'a' + chance.nextInt(3)
                                                            : chance.nextBoolean()
                                                                    ? 0x1F600 + chance.nextInt(3)
                                                                    : 0xFFE0 + chance.nextInt(3))));
        }
        return new RowPosition(sort, chance.nextInt(3), chance.nextInt(3));
    }

    private static SortOrder order(Random chance) {
        List<SortKey> keys = new ArrayList<>();
        for (int i = 0; i <= chance.nextInt(SortOrder.MAX_KEYS); i++) {
            keys.add(new SortKey("k" + i, chance.nextBoolean(), chance.nextBoolean()));
        }
        return new SortOrder(keys);
    }

    @Property(tries = 500, seed = "1")
    void theOrderIsTotal(@ForAll long seed) {
        Random chance = new Random(seed);
        SortOrder order = order(chance);
        RowPosition a = mark(chance, order.keys().size());
        RowPosition b = mark(chance, order.keys().size());
        RowPosition c = mark(chance, order.keys().size());
        assertEquals(Integer.signum(order.compare(a, b)), -Integer.signum(order.compare(b, a)));
        assertEquals(a.equals(b), order.compare(a, b) == 0);
        if (order.compare(a, b) <= 0 && order.compare(b, c) <= 0) {
            assertTrue(order.compare(a, c) <= 0);
        }
    }

    @Property(tries = 500, seed = "1")
    void textsGoAsTheirBytesDo(@ForAll long seed) {
        Random chance = new Random(seed);
        String[] texts = new String[2];
        for (int i = 0; i < 2; i++) {
            StringBuilder text = new StringBuilder("x");
            for (int j = chance.nextInt(3); j > 0; j--) {
                text.appendCodePoint(
                        List.of((int) 'a', 0xE9, 0xFFFD, 0xE000, 0x10000, 0x1F600)
                                .get(chance.nextInt(6)));
            }
            texts[i] = text.toString();
        }
        assertEquals(
                Integer.signum(
                        Arrays.compareUnsigned(
                                texts[0].getBytes(StandardCharsets.UTF_8),
                                texts[1].getBytes(StandardCharsets.UTF_8))),
                Integer.signum(new SortKey("k", false, false).compare(texts[0], texts[1])));
    }

    @Example
    void missingOnesComeWhereTheyAreSaidToWhicheverWayTheOthersGo() {
        for (boolean descending : new boolean[] {false, true}) {
            assertTrue(new SortKey("k", descending, true).compare(null, 1L) < 0);
            assertTrue(new SortKey("k", descending, false).compare(null, "a") > 0);
            assertEquals(0, new SortKey("k", descending, false).compare(null, null));
            assertEquals(descending, new SortKey("k", descending, false).compare(1L, "1") > 0);
        }
    }

    private static PartialPage partial(Random chance, SortOrder order, KeyRange keys, int rows) {
        List<Row> all = new ArrayList<>();
        for (int i = 0; i < rows; i++) {
            RowPosition mark = mark(chance, order.keys().size());
            all.add(
                    new Row(
                            new RowPosition(mark.sortValues(), keys.from() + chance.nextInt(5), i),
                            "r" + i));
        }
        all.sort((one, other) -> order.compare(one.position(), other.position()));
        return new PartialPage(keys, all, null);
    }

    /** Any one thing that is wrong with an answer is found. */
    @Property(tries = 500, seed = "1")
    void aSpoiltAnswerIsFound(@ForAll long seed, @ForAll @IntRange(min = 2, max = 20) int rows) {
        Random chance = new Random(seed);
        SortOrder order = order(chance);
        KeyRange keys = new KeyRange(100, 200);
        PartialPage sound = partial(chance, order, keys, rows);
        List<RowFetch> asks = List.of(new RowFetch(keys, null, rows));
        assertNull(sound.findProblem(order, asks));
        int at = chance.nextInt(rows - 1);
        List<Row> turned = new ArrayList<>(sound.rows());
        Collections.swap(turned, at, at + 1);
        assertNotNull(new PartialPage(keys, turned, null).findProblem(order, asks), "turned");
        List<Row> twice = new ArrayList<>(sound.rows());
        twice.set(at + 1, twice.get(at));
        assertNotNull(new PartialPage(keys, twice, null).findProblem(order, asks), "twice");
        assertNotNull(
                sound.findProblem(order, List.of(new RowFetch(keys, null, rows - 1))), "too many");
        assertNotNull(
                sound.findProblem(
                        order, List.of(new RowFetch(keys, sound.rows().get(at).position(), rows))),
                "given before");
        assertNotNull(
                new PartialPage(new KeyRange(0, 100), sound.rows(), null)
                        .findProblem(
                                order, List.of(new RowFetch(new KeyRange(0, 100), null, rows))),
                "other keys");
        assertNotNull(
                new PartialPage(
                                keys,
                                sound.rows().subList(0, rows - 1),
                                sound.rows().get(chance.nextInt(rows - 1)).position())
                        .findProblem(order, asks),
                "next");
        assertNull(
                new PartialPage(
                                keys,
                                sound.rows().subList(0, rows - 1),
                                sound.rows().get(rows - 1).position())
                        .findProblem(order, asks));
        assertNotNull(
                new PartialPage(keys, List.of(), sound.rows().get(0).position())
                        .findProblem(order, asks),
                "none, and more");
    }

    @Example
    void aRowThatIsNoneIsSpoilt() {
        SortOrder order = new SortOrder(List.of(new SortKey("k", false, false)));
        KeyRange keys = KeyRange.ALL;
        for (RowPosition bad :
                List.of(
                        new RowPosition(List.of(), 0, 0),
                        new RowPosition(List.of(1L, 1L), 0, 0),
                        new RowPosition(List.of(1.5), 0, 0),
                        new RowPosition(List.of("x".repeat(RowPosition.MAX_TEXT_BYTES + 1)), 0, 0),
                        new RowPosition(List.of("\u00e9".repeat(33)), 0, 0),
                        new RowPosition(List.of("\ud800"), 0, 0),
                        new RowPosition(List.of(1L), -1, 0),
                        new RowPosition(List.of(1L), KeyRange.KEY_SPACE_SIZE, 0))) {
            assertNotNull(
                    new PartialPage(keys, List.of(new Row(bad, "")), null)
                            .findProblem(order, List.of(new RowFetch(keys, null, 5))),
                    bad.toString());
        }
    }

    @Property(tries = 300, seed = "1")
    void theMergeIsTheSortAndNoMoreOfIt(
            @ForAll long seed,
            @ForAll @IntRange(max = 12) int parts,
            @ForAll @IntRange(max = 60) int most) {
        Random chance = new Random(seed);
        SortOrder order = order(chance);
        List<List<Row>> lists = new ArrayList<>();
        List<Row> all = new ArrayList<>();
        for (int i = 0; i < parts; i++) {
            PartialPage one =
                    partial(chance, order, new KeyRange(10 * i, 10 * i + 10), chance.nextInt(20));
            lists.add(one.rows());
            all.addAll(one.rows());
        }
        all.sort((one, other) -> order.compare(one.position(), other.position()));
        assertEquals(
                all.subList(0, Math.min(most, all.size())),
                RowMerger.mergeFirst(order, lists, most, null));
        Collections.shuffle(lists, chance);
        RowPosition bound = all.isEmpty() ? null : all.get(chance.nextInt(all.size())).position();
        assertEquals(
                all.stream()
                        .filter(row -> bound == null || order.compare(row.position(), bound) < 0)
                        .limit(most)
                        .toList(),
                RowMerger.mergeFirst(order, lists, most, bound));
    }

    /** A page that is full is asked nothing more for: what ran out lies behind it. */
    @Example
    void aPartIsAskedAgainOnlyWhereAnUnseenRowCanEnter() {
        SortOrder order = new SortOrder(List.of(new SortKey("k", false, false)));
        KeyRange low = new KeyRange(0, 10);
        KeyRange high = new KeyRange(10, 20);
        PageAssembler page =
                new PageAssembler(
                        order,
                        3,
                        List.of(
                                new RangeProgress(low, 0.5, null),
                                new RangeProgress(high, 0.5, null)),
                        new RowDistribution());
        page.add(new PartialPage(low, rows(low, 1, 2, 3), rows(low, 4).get(0).position()));
        page.add(new PartialPage(high, rows(high, 5), rows(high, 7).get(0).position()));
        assertEquals(List.of(), page.followUpFetches());
        page = new PageAssembler(order, 4, page.ranges(), new RowDistribution());
        page.add(new PartialPage(low, rows(low, 1, 2, 9), rows(low, 10).get(0).position()));
        page.add(new PartialPage(high, rows(high, 5), rows(high, 7).get(0).position()));
        List<RowFetch> further = page.followUpFetches();
        assertEquals(List.of(high), further.stream().map(RowFetch::range).toList());
        assertEquals(rows(high, 5).get(0).position(), further.get(0).after());
        page.add(new PartialPage(high, rows(high, 7), null));
        assertEquals(List.of(), page.followUpFetches());
        Page given = page.finish();
        assertEquals(
                List.of(1L, 2L, 5L, 7L),
                given.rows().stream().map(row -> row.position().sortValues().get(0)).toList());
        assertEquals(
                List.of(new RangeProgress(low, 0.5, given.rows().get(3).position())),
                given.remaining());
    }

    /**
     * What nobody answered is named and owed from where it stood; what is over leaves the cursor.
     */
    @Example
    void aMissingRangeIsNamedAndOwed() {
        SortOrder order = new SortOrder(List.of(new SortKey("k", false, false)));
        KeyRange low = new KeyRange(0, 10);
        KeyRange high = new KeyRange(10, 20);
        RowPosition old = rows(high, 1).get(0).position();
        PageAssembler page =
                new PageAssembler(
                        order,
                        9,
                        List.of(
                                new RangeProgress(low, 0.5, old),
                                new RangeProgress(high, 0.5, old)),
                        new RowDistribution());
        page.add(new PartialPage(low, rows(low, 4, 5), null));
        assertEquals(List.of(), page.followUpFetches());
        Page given = page.finish();
        assertEquals(List.of(high), given.missingRanges());
        assertEquals(List.of(new RangeProgress(high, 0.5, old)), given.remaining());
        assertEquals(2, given.rows().size());
    }

    private static List<Row> rows(KeyRange keys, long... values) {
        List<Row> rows = new ArrayList<>();
        for (long value : values) {
            rows.add(new Row(new RowPosition(List.of(value), keys.from(), value), "r" + value));
        }
        return rows;
    }

    /**
     * Whatever begins, rule 6 holds with what counts as taken for it: the reserve makes up for it
     * in every window.
     */
    @Property(tries = 200, seed = "1")
    void furtherAsksStayWithinTheirReserve(@ForAll long seed) {
        Random chance = new Random(seed);
        double free = chance.nextInt(60);
        double share = 0.1 + chance.nextDouble() / 2;
        Duration span = Duration.ofSeconds(2);
        FollowUpFetchBudget asks = new FollowUpFetchBudget(free, share, span);
        assertTrue(asks.reservedAttempts() <= free);
        List<Duration> begun = new ArrayList<>();
        long now = 0;
        for (int i = 0; i < 400; i++) {
            now += chance.nextInt(40);
            Duration at = Duration.ofMillis(now);
            int parts = 1 + chance.nextInt(6);
            if (asks.tryAcquire(at, parts)) {
                begun.addAll(Collections.nCopies(1 + parts, at));
            }
            long inWindow = begun.stream().filter(one -> one.compareTo(at.minus(span)) > 0).count();
            assertTrue(
                    share * inWindow <= asks.reservedAttempts() + 1e-9,
                    inWindow + " of " + asks.reservedAttempts());
        }
        assertTrue(free < 10 || !begun.isEmpty());
        assertTrue(
                new FollowUpFetchBudget(0, 0, null).tryAcquire(Duration.ZERO, 1000),
                "no budget is stated");
    }

    @Example
    void eachErrorSaysWhatHappenedAndWhatToDo() {
        List<PageError> all =
                List.of(
                        new PageError.InvalidCursor(),
                        new PageError.UnsupportedCursorFormat(9),
                        new PageError.UnknownSigningKey("0a"),
                        new PageError.QueryMismatch(),
                        new PageError.LayoutNoLongerKept(3, 7),
                        new PageError.LayoutNotYetKnown(8, 7),
                        new PageError.InvalidRows("q.1-0", "a row out of order"),
                        new PageError.CursorTooLarge(600, 2),
                        new PageError.NotIdempotent("hold"),
                        new PageError.InvalidRequestMember("page", "0"),
                        new PageError.InvalidSigningKey("pages.key"));
        assertEquals(
                PageError.class.getPermittedSubclasses().length, all.size(), "each kind is here");
        for (PageError one : all) {
            assertTrue(one.problem().length() > 10 && !one.problem().endsWith("."), one.toString());
            assertTrue(one.remedy().length() > 10 && !one.remedy().endsWith("."), one.toString());
            assertEquals(one.problem() + "; " + one.remedy(), one.toException().getMessage());
        }
    }
}
