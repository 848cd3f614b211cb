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

class PagesPropertiesTest {
    private static Mark mark(Random chance, int keys) {
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
        return new Mark(sort, chance.nextInt(3), chance.nextInt(3));
    }

    private static Order order(Random chance) {
        List<SortKey> keys = new ArrayList<>();
        for (int i = 0; i <= chance.nextInt(Order.KEYS_MOST); i++) {
            keys.add(new SortKey("k" + i, chance.nextBoolean(), chance.nextBoolean()));
        }
        return new Order(keys);
    }

    @Property(tries = 500, seed = "1")
    void theOrderIsTotal(@ForAll long seed) {
        Random chance = new Random(seed);
        Order order = order(chance);
        Mark a = mark(chance, order.keys().size());
        Mark b = mark(chance, order.keys().size());
        Mark c = mark(chance, order.keys().size());
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

    private static Partial partial(Random chance, Order order, KeyRange keys, int rows) {
        List<Row> all = new ArrayList<>();
        for (int i = 0; i < rows; i++) {
            Mark mark = mark(chance, order.keys().size());
            all.add(new Row(new Mark(mark.sort(), keys.from() + chance.nextInt(5), i), "r" + i));
        }
        all.sort((one, other) -> order.compare(one.at(), other.at()));
        return new Partial(keys, all, null);
    }

    /** Any one thing that is wrong with an answer is found. */
    @Property(tries = 500, seed = "1")
    void aSpoiltAnswerIsFound(@ForAll long seed, @ForAll @IntRange(min = 2, max = 20) int rows) {
        Random chance = new Random(seed);
        Order order = order(chance);
        KeyRange keys = new KeyRange(100, 200);
        Partial sound = partial(chance, order, keys, rows);
        List<Ask> asks = List.of(new Ask(keys, null, rows));
        assertNull(sound.problem(order, asks));
        int at = chance.nextInt(rows - 1);
        List<Row> turned = new ArrayList<>(sound.rows());
        Collections.swap(turned, at, at + 1);
        assertNotNull(new Partial(keys, turned, null).problem(order, asks), "turned");
        List<Row> twice = new ArrayList<>(sound.rows());
        twice.set(at + 1, twice.get(at));
        assertNotNull(new Partial(keys, twice, null).problem(order, asks), "twice");
        assertNotNull(sound.problem(order, List.of(new Ask(keys, null, rows - 1))), "too many");
        assertNotNull(
                sound.problem(order, List.of(new Ask(keys, sound.rows().get(at).at(), rows))),
                "given before");
        assertNotNull(
                new Partial(new KeyRange(0, 100), sound.rows(), null)
                        .problem(order, List.of(new Ask(new KeyRange(0, 100), null, rows))),
                "other keys");
        assertNotNull(
                new Partial(
                                keys,
                                sound.rows().subList(0, rows - 1),
                                sound.rows().get(chance.nextInt(rows - 1)).at())
                        .problem(order, asks),
                "next");
        assertNull(
                new Partial(
                                keys,
                                sound.rows().subList(0, rows - 1),
                                sound.rows().get(rows - 1).at())
                        .problem(order, asks));
        assertNotNull(
                new Partial(keys, List.of(), sound.rows().get(0).at()).problem(order, asks),
                "none, and more");
    }

    @Example
    void aRowThatIsNoneIsSpoilt() {
        Order order = new Order(List.of(new SortKey("k", false, false)));
        KeyRange keys = KeyRange.ALL;
        for (Mark bad :
                List.of(
                        new Mark(List.of(), 0, 0),
                        new Mark(List.of(1L, 1L), 0, 0),
                        new Mark(List.of(1.5), 0, 0),
                        new Mark(List.of("x".repeat(Mark.TEXT_MOST + 1)), 0, 0),
                        new Mark(List.of("\u00e9".repeat(33)), 0, 0),
                        new Mark(List.of("\ud800"), 0, 0),
                        new Mark(List.of(1L), -1, 0),
                        new Mark(List.of(1L), KeyRange.KEYS, 0))) {
            assertNotNull(
                    new Partial(keys, List.of(new Row(bad, "")), null)
                            .problem(order, List.of(new Ask(keys, null, 5))),
                    bad.toString());
        }
    }

    @Property(tries = 300, seed = "1")
    void theMergeIsTheSortAndNoMoreOfIt(
            @ForAll long seed,
            @ForAll @IntRange(max = 12) int parts,
            @ForAll @IntRange(max = 60) int most) {
        Random chance = new Random(seed);
        Order order = order(chance);
        List<List<Row>> lists = new ArrayList<>();
        List<Row> all = new ArrayList<>();
        for (int i = 0; i < parts; i++) {
            Partial one =
                    partial(chance, order, new KeyRange(10 * i, 10 * i + 10), chance.nextInt(20));
            lists.add(one.rows());
            all.addAll(one.rows());
        }
        all.sort((one, other) -> order.compare(one.at(), other.at()));
        assertEquals(
                all.subList(0, Math.min(most, all.size())), Merge.first(order, lists, most, null));
        Collections.shuffle(lists, chance);
        Mark bound = all.isEmpty() ? null : all.get(chance.nextInt(all.size())).at();
        assertEquals(
                all.stream()
                        .filter(row -> bound == null || order.compare(row.at(), bound) < 0)
                        .limit(most)
                        .toList(),
                Merge.first(order, lists, most, bound));
    }

    /** A page that is full is asked nothing more for: what ran out lies behind it. */
    @Example
    void aPartIsAskedAgainOnlyWhereAnUnseenRowCanEnter() {
        Order order = new Order(List.of(new SortKey("k", false, false)));
        KeyRange low = new KeyRange(0, 10);
        KeyRange high = new KeyRange(10, 20);
        Assembly page =
                new Assembly(
                        order,
                        3,
                        List.of(new Standing(low, 0.5, null), new Standing(high, 0.5, null)),
                        new Shares());
        page.took(new Partial(low, rows(low, 1, 2, 3), rows(low, 4).get(0).at()));
        page.took(new Partial(high, rows(high, 5), rows(high, 7).get(0).at()));
        assertEquals(List.of(), page.further());
        page = new Assembly(order, 4, page.standings(), new Shares());
        page.took(new Partial(low, rows(low, 1, 2, 9), rows(low, 10).get(0).at()));
        page.took(new Partial(high, rows(high, 5), rows(high, 7).get(0).at()));
        List<Ask> further = page.further();
        assertEquals(List.of(high), further.stream().map(Ask::keys).toList());
        assertEquals(rows(high, 5).get(0).at(), further.get(0).after());
        page.took(new Partial(high, rows(high, 7), null));
        assertEquals(List.of(), page.further());
        Page given = page.end();
        assertEquals(
                List.of(1L, 2L, 5L, 7L),
                given.rows().stream().map(row -> row.at().sort().get(0)).toList());
        assertEquals(List.of(new Standing(low, 0.5, given.rows().get(3).at())), given.next());
    }

    /**
     * What nobody answered is named and owed from where it stood; what is over leaves the cursor.
     */
    @Example
    void aMissingRangeIsNamedAndOwed() {
        Order order = new Order(List.of(new SortKey("k", false, false)));
        KeyRange low = new KeyRange(0, 10);
        KeyRange high = new KeyRange(10, 20);
        Mark old = rows(high, 1).get(0).at();
        Assembly page =
                new Assembly(
                        order,
                        9,
                        List.of(new Standing(low, 0.5, old), new Standing(high, 0.5, old)),
                        new Shares());
        page.took(new Partial(low, rows(low, 4, 5), null));
        assertEquals(List.of(), page.further());
        Page given = page.end();
        assertEquals(List.of(high), given.missing());
        assertEquals(List.of(new Standing(high, 0.5, old)), given.next());
        assertEquals(2, given.rows().size());
    }

    private static List<Row> rows(KeyRange keys, long... values) {
        List<Row> rows = new ArrayList<>();
        for (long value : values) {
            rows.add(new Row(new Mark(List.of(value), keys.from(), value), "r" + value));
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
        FurtherAsks asks = new FurtherAsks(free, share, span);
        assertTrue(asks.reserve() <= free);
        List<Duration> begun = new ArrayList<>();
        long now = 0;
        for (int i = 0; i < 400; i++) {
            now += chance.nextInt(40);
            Duration at = Duration.ofMillis(now);
            int parts = 1 + chance.nextInt(6);
            if (asks.begins(at, parts)) {
                begun.addAll(Collections.nCopies(1 + parts, at));
            }
            long inWindow = begun.stream().filter(one -> one.compareTo(at.minus(span)) > 0).count();
            assertTrue(
                    share * inWindow <= asks.reserve() + 1e-9, inWindow + " of " + asks.reserve());
        }
        assertTrue(free < 10 || !begun.isEmpty());
        assertTrue(new FurtherAsks(0, 0, null).begins(Duration.ZERO, 1000), "no budget is stated");
    }

    @Example
    void eachErrorSaysWhatHappenedAndWhatToDo() {
        List<PageError> all =
                List.of(
                        new PageError.Altered(),
                        new PageError.UnknownForm(9),
                        new PageError.UnknownKey("0a"),
                        new PageError.OfAnotherQuery(),
                        new PageError.TooOld(3, 7),
                        new PageError.Ahead(8, 7),
                        new PageError.Spoilt("q.1-0", "a row out of order"),
                        new PageError.TooMuchOwed(600, 2),
                        new PageError.NotRepeatable("hold"),
                        new PageError.BadRequest("page", "0"),
                        new PageError.BadKey("pages.key"));
        assertEquals(
                PageError.class.getPermittedSubclasses().length, all.size(), "each kind is here");
        for (PageError one : all) {
            assertTrue(
                    one.happened().length() > 10 && !one.happened().endsWith("."), one.toString());
            assertTrue(one.advice().length() > 10 && !one.advice().endsWith("."), one.toString());
            assertEquals(one.happened() + "; " + one.advice(), one.thrown().getMessage());
        }
    }
}
