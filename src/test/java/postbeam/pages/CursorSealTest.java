package postbeam.pages;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import postbeam.errors.Explained;
import postbeam.errors.ExplainedException;
import postbeam.slices.KeyRange;

class CursorSealTest {
    private static final String KEY = "0f".repeat(32);
    private static final String NEXT = "a7".repeat(32);
    private static final long QUERY = 77;

    private static Lineage lineage(long version, long oldest) {
        return new Lineage() {
            @Override
            public long version() {
                return version;
            }

            @Override
            public long oldest() {
                return oldest;
            }

            @Override
            public List<KeyRange> cut(KeyRange keys) {
                return List.of(keys);
            }
        };
    }

    private static Explained refused(CursorSeal seal, String text, long query, Lineage lineage) {
        return assertThrows(ExplainedException.class, () -> seal.opened(text, query, lineage))
                .error();
    }

    /** So many ranges of even size apart from one another, at so many marks. */
    private static Cursor cursor(int ranges, int marks, Object value) {
        List<Standing> all = new ArrayList<>();
        long step = KeyRange.KEYS / ranges;
        for (int i = 0; i < ranges; i++) {
            long m = i % marks;
            all.add(
                    new Standing(
                            new KeyRange(step * i + 1 + step / 3, step * (i + 1)),
                            1.0f / ranges,
                            new Mark(
                                    value instanceof String
                                            ? Arrays.asList(value, value, value, value)
                                            : Arrays.asList(value, null),
                                    KeyRange.KEYS - 1 - m,
                                    m)));
        }
        return new Cursor(12, QUERY, all);
    }

    private static void same(Cursor one, Cursor other) {
        assertEquals(one.layout(), other.layout());
        assertEquals(
                one.standings().stream().map(Standing::keys).toList(),
                other.standings().stream().map(Standing::keys).toList());
        assertEquals(
                one.standings().stream().map(Standing::after).toList(),
                other.standings().stream().map(Standing::after).toList());
        for (int i = 0; i < one.standings().size(); i++) {
            assertEquals(one.standings().get(i).weight(), other.standings().get(i).weight(), 1e-6);
        }
    }

    @Test
    void aCursorComesBackAsItWasAndIsAsShortAsTheNoteSays() throws ExplainedException {
        CursorSeal seal = new CursorSeal(KEY, null);
        Cursor usual = cursor(100, 1, 4_000L);
        Cursor worst = cursor(100, Assembly.MARKS_MOST, "\u00fc".repeat(32));
        Cursor largest = cursor(Assembly.RANGES_MOST, Assembly.MARKS_MOST, "y".repeat(64));
        for (Cursor one :
                List.of(
                        usual,
                        worst,
                        largest,
                        new Cursor(12, QUERY, List.of(new Standing(KeyRange.ALL, 1, null))))) {
            same(one, seal.opened(seal.sealed(one), QUERY, lineage(12, 12)));
        }
        assertTrue(seal.sealed(usual).length() <= 2_600, "usual: " + seal.sealed(usual).length());
        assertTrue(seal.sealed(worst).length() <= 14_535, "worst: " + seal.sealed(worst).length());
        assertTrue(
                seal.sealed(largest).length() <= CursorSeal.TEXT_MOST,
                "largest: " + seal.sealed(largest).length());
        assertInstanceOf(
                PageError.TooMuchOwed.class,
                assertThrows(
                                ExplainedException.class,
                                () -> seal.sealed(cursor(100, Assembly.MARKS_MOST + 1, 1L)))
                        .error());
        assertInstanceOf(
                PageError.TooMuchOwed.class,
                assertThrows(
                                ExplainedException.class,
                                () -> seal.sealed(cursor(Assembly.RANGES_MOST + 1, 1, 1L)))
                        .error());
    }

    @Test
    void anyAlteredLetterIsRefused() throws ExplainedException {
        CursorSeal seal = new CursorSeal(KEY, null);
        String text = seal.sealed(cursor(5, 3, "x"));
        for (int i = 0; i < text.length(); i++) {
            char other = text.charAt(i) == 'A' ? 'B' : 'A';
            String altered = text.substring(0, i) + other + text.substring(i + 1);
            Explained why = refused(seal, altered, QUERY, lineage(12, 1));
            assertTrue(
                    why instanceof PageError.Altered
                            || i < 2 && why instanceof PageError.UnknownForm
                            || i < 7 && why instanceof PageError.UnknownKey,
                    i + ": " + why);
        }
        for (String bad :
                List.of(
                        "",
                        "!",
                        text.substring(1),
                        text.substring(0, text.length() - 1),
                        text + "A",
                        text + "=",
                        "A".repeat(CursorSeal.TEXT_MOST + 1))) {
            assertTrue(
                    refused(seal, bad, QUERY, lineage(12, 1)) instanceof PageError.Altered
                            || refused(seal, bad, QUERY, lineage(12, 1))
                                    instanceof PageError.UnknownForm,
                    bad);
        }
    }

    @Test
    void eachOtherReasonToRefuseHasItsOwnError() throws ExplainedException {
        CursorSeal seal = new CursorSeal(KEY, null);
        String text = seal.sealed(cursor(3, 1, 1L));
        assertInstanceOf(
                PageError.OfAnotherQuery.class, refused(seal, text, QUERY + 1, lineage(12, 1)));
        assertEquals(new PageError.Ahead(12, 11), refused(seal, text, QUERY, lineage(11, 1)));
        assertEquals(new PageError.TooOld(12, 13), refused(seal, text, QUERY, lineage(20, 13)));
        assertInstanceOf(
                PageError.UnknownKey.class,
                refused(new CursorSeal(NEXT, null), text, QUERY, lineage(12, 1)));
    }

    /**
     * First all hold the new key beside the old, then the new one signs, then the old one is let
     * go.
     */
    @Test
    void keysCanBeChangedWhileCursorsAreAbout() throws ExplainedException {
        CursorSeal before = new CursorSeal(KEY, NEXT);
        CursorSeal after = new CursorSeal(NEXT, KEY);
        Cursor cursor = cursor(3, 2, "x");
        same(cursor, after.opened(before.sealed(cursor), QUERY, lineage(12, 1)));
        same(cursor, before.opened(after.sealed(cursor), QUERY, lineage(12, 1)));
        assertNotEquals(before.sealed(cursor), after.sealed(cursor));
    }

    @Test
    void aKeyThatCantBeUsedIsNamed() {
        for (String key : new String[] {null, "", "0f", "zz".repeat(32)}) {
            assertEquals(
                    new PageError.BadKey("pages.key"),
                    assertThrows(ExplainedException.class, () -> new CursorSeal(key, null))
                            .error());
        }
        assertEquals(
                new PageError.BadKey("pages.oldKey"),
                assertThrows(ExplainedException.class, () -> new CursorSeal(KEY, "0")).error());
    }

    @Test
    void whatMakesAnotherQueryChangesTheDigest() {
        Order order = new Order(List.of(new SortKey("fare", false, false)));
        Order turned = new Order(List.of(new SortKey("fare", true, false)));
        assertEquals(
                5,
                IntStream.range(0, 5)
                        .mapToLong(
                                i ->
                                        CursorSeal.digest(
                                                i == 1 ? "b" : "a",
                                                i == 2 ? "d" : "c",
                                                (i == 3 ? "f" : "e").getBytes(),
                                                i == 4 ? turned : order))
                        .distinct()
                        .count());
    }
}
