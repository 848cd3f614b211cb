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
import postbeam.errors.OperatorError;
import postbeam.errors.OperatorErrorException;
import postbeam.slices.KeyRange;

class CursorCodecTest {
    private static final String KEY = "0f".repeat(32);
    private static final String NEXT = "a7".repeat(32);
    private static final long QUERY = 77;

    private static LayoutHistory lineage(long version, long oldest) {
        return new LayoutHistory() {
            @Override
            public long currentVersion() {
                return version;
            }

            @Override
            public long oldestVersion() {
                return oldest;
            }

            @Override
            public List<KeyRange> splitBySlices(KeyRange keys) {
                return List.of(keys);
            }
        };
    }

    private static OperatorError refused(
            CursorCodec seal, String text, long query, LayoutHistory lineage) {
        return assertThrows(OperatorErrorException.class, () -> seal.decode(text, query, lineage))
                .error();
    }

    /** So many ranges of even size apart from one another, at so many marks. */
    private static Cursor cursor(int ranges, int marks, Object value) {
        List<RangeProgress> all = new ArrayList<>();
        long step = KeyRange.KEY_SPACE_SIZE / ranges;
        for (int i = 0; i < ranges; i++) {
            long m = i % marks;
            all.add(
                    new RangeProgress(
                            new KeyRange(step * i + 1 + step / 3, step * (i + 1)),
                            1.0f / ranges,
                            new RowPosition(
                                    value instanceof String
                                            ? Arrays.asList(value, value, value, value)
                                            : Arrays.asList(value, null),
                                    KeyRange.KEY_SPACE_SIZE - 1 - m,
                                    m)));
        }
        return new Cursor(12, QUERY, all);
    }

    private static void same(Cursor one, Cursor other) {
        assertEquals(one.layoutVersion(), other.layoutVersion());
        assertEquals(
                one.ranges().stream().map(RangeProgress::range).toList(),
                other.ranges().stream().map(RangeProgress::range).toList());
        assertEquals(
                one.ranges().stream().map(RangeProgress::after).toList(),
                other.ranges().stream().map(RangeProgress::after).toList());
        for (int i = 0; i < one.ranges().size(); i++) {
            assertEquals(one.ranges().get(i).weight(), other.ranges().get(i).weight(), 1e-6);
        }
    }

    @Test
    void aCursorComesBackAsItWasAndIsAsShortAsTheNoteSays() throws OperatorErrorException {
        CursorCodec seal = new CursorCodec(KEY, null);
        Cursor usual = cursor(100, 1, 4_000L);
        Cursor worst = cursor(100, PageAssembler.MAX_POSITIONS, "\u00fc".repeat(32));
        Cursor largest =
                cursor(PageAssembler.MAX_RANGES, PageAssembler.MAX_POSITIONS, "y".repeat(64));
        for (Cursor one :
                List.of(
                        usual,
                        worst,
                        largest,
                        new Cursor(12, QUERY, List.of(new RangeProgress(KeyRange.ALL, 1, null))))) {
            same(one, seal.decode(seal.encode(one), QUERY, lineage(12, 12)));
        }
        assertTrue(seal.encode(usual).length() <= 2_600, "usual: " + seal.encode(usual).length());
        assertTrue(seal.encode(worst).length() <= 14_535, "worst: " + seal.encode(worst).length());
        assertTrue(
                seal.encode(largest).length() <= CursorCodec.MAX_TEXT_LENGTH,
                "largest: " + seal.encode(largest).length());
        assertInstanceOf(
                PageError.CursorTooLarge.class,
                assertThrows(
                                OperatorErrorException.class,
                                () -> seal.encode(cursor(100, PageAssembler.MAX_POSITIONS + 1, 1L)))
                        .error());
        assertInstanceOf(
                PageError.CursorTooLarge.class,
                assertThrows(
                                OperatorErrorException.class,
                                () -> seal.encode(cursor(PageAssembler.MAX_RANGES + 1, 1, 1L)))
                        .error());
    }

    @Test
    void anyAlteredLetterIsRefused() throws OperatorErrorException {
        CursorCodec seal = new CursorCodec(KEY, null);
        String text = seal.encode(cursor(5, 3, "x"));
        for (int i = 0; i < text.length(); i++) {
            char other = text.charAt(i) == 'A' ? 'B' : 'A';
            String altered = text.substring(0, i) + other + text.substring(i + 1);
            OperatorError why = refused(seal, altered, QUERY, lineage(12, 1));
            assertTrue(
                    why instanceof PageError.InvalidCursor
                            || i < 2 && why instanceof PageError.UnsupportedCursorFormat
                            || i < 7 && why instanceof PageError.UnknownSigningKey,
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
                        "A".repeat(CursorCodec.MAX_TEXT_LENGTH + 1))) {
            assertTrue(
                    refused(seal, bad, QUERY, lineage(12, 1)) instanceof PageError.InvalidCursor
                            || refused(seal, bad, QUERY, lineage(12, 1))
                                    instanceof PageError.UnsupportedCursorFormat,
                    bad);
        }
    }

    @Test
    void eachOtherReasonToRefuseHasItsOwnError() throws OperatorErrorException {
        CursorCodec seal = new CursorCodec(KEY, null);
        String text = seal.encode(cursor(3, 1, 1L));
        assertInstanceOf(
                PageError.QueryMismatch.class, refused(seal, text, QUERY + 1, lineage(12, 1)));
        assertEquals(
                new PageError.LayoutNotYetKnown(12, 11),
                refused(seal, text, QUERY, lineage(11, 1)));
        assertEquals(
                new PageError.LayoutNoLongerKept(12, 13),
                refused(seal, text, QUERY, lineage(20, 13)));
        assertInstanceOf(
                PageError.UnknownSigningKey.class,
                refused(new CursorCodec(NEXT, null), text, QUERY, lineage(12, 1)));
    }

    /**
     * First all hold the new key beside the old, then the new one signs, then the old one is let
     * go.
     */
    @Test
    void keysCanBeChangedWhileCursorsAreAbout() throws OperatorErrorException {
        CursorCodec before = new CursorCodec(KEY, NEXT);
        CursorCodec after = new CursorCodec(NEXT, KEY);
        Cursor cursor = cursor(3, 2, "x");
        same(cursor, after.decode(before.encode(cursor), QUERY, lineage(12, 1)));
        same(cursor, before.decode(after.encode(cursor), QUERY, lineage(12, 1)));
        assertNotEquals(before.encode(cursor), after.encode(cursor));
    }

    @Test
    void aKeyThatCantBeUsedIsNamed() {
        for (String key : new String[] {null, "", "0f", "zz".repeat(32)}) {
            assertEquals(
                    new PageError.InvalidSigningKey("pages.key"),
                    assertThrows(OperatorErrorException.class, () -> new CursorCodec(key, null))
                            .error());
        }
        assertEquals(
                new PageError.InvalidSigningKey("pages.oldKey"),
                assertThrows(OperatorErrorException.class, () -> new CursorCodec(KEY, "0"))
                        .error());
    }

    @Test
    void whatMakesAnotherQueryChangesTheDigest() {
        SortOrder order = new SortOrder(List.of(new SortKey("fare", false, false)));
        SortOrder turned = new SortOrder(List.of(new SortKey("fare", true, false)));
        assertEquals(
                5,
                IntStream.range(0, 5)
                        .mapToLong(
                                i ->
                                        CursorCodec.digest(
                                                i == 1 ? "b" : "a",
                                                i == 2 ? "d" : "c",
                                                (i == 3 ? "f" : "e").getBytes(),
                                                i == 4 ? turned : order))
                        .distinct()
                        .count());
    }
}
