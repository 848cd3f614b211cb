package postbeam.pages;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.errors.OperatorError;
import postbeam.errors.OperatorErrorException;
import postbeam.slices.KeyRange;

class CursorCodecTest {
    private static final String KEY = "0f".repeat(32);
    private static final String NEXT_KEY = "a7".repeat(32);
    private static final long QUERY_DIGEST = 77;

    private static LayoutHistory layouts(long currentVersion, long oldestVersion) {
        return new UnsplitLayout(currentVersion, oldestVersion);
    }

    private static OperatorError errorOf(
            CursorCodec codec, String text, long queryDigest, LayoutHistory layouts) {
        return assertThrows(
                        OperatorErrorException.class,
                        () -> codec.decode(text, queryDigest, layouts))
                .error();
    }

    /**
     * Returns a cursor of equally sized ranges with gaps between them; the ranges share the given
     * number of positions, which have the given sort value.
     */
    private static Cursor cursor(int rangeCount, int positionCount, Object value) {
        List<Object> sortValues =
                value instanceof String
                        ? Arrays.asList(value, value, value, value)
                        : Arrays.asList(value, null);
        List<RangeProgress> ranges = new ArrayList<>();
        long step = KeyRange.KEY_SPACE_SIZE / rangeCount;
        for (int i = 0; i < rangeCount; i++) {
            long number = i % positionCount;
            KeyRange range = new KeyRange(step * i + 1 + step / 3, step * (i + 1));
            RowPosition after =
                    new RowPosition(sortValues, KeyRange.KEY_SPACE_SIZE - 1 - number, number);
            ranges.add(new RangeProgress(range, 1.0f / rangeCount, after));
        }
        return new Cursor(12, QUERY_DIGEST, ranges);
    }

    private static void assertSame(Cursor expected, Cursor actual) {
        assertEquals(expected.layoutVersion(), actual.layoutVersion());
        assertEquals(
                expected.ranges().stream().map(RangeProgress::range).toList(),
                actual.ranges().stream().map(RangeProgress::range).toList());
        assertEquals(
                expected.ranges().stream().map(RangeProgress::after).toList(),
                actual.ranges().stream().map(RangeProgress::after).toList());
        for (int i = 0; i < expected.ranges().size(); i++) {
            assertEquals(expected.ranges().get(i).weight(), actual.ranges().get(i).weight(), 1e-6);
        }
    }

    @Test
    void encodedCursorDecodesToEqualCursorWithinLengthLimits() throws OperatorErrorException {
        CursorCodec codec = new CursorCodec(KEY, null);
        Cursor usual = cursor(100, 1, 4_000L);
        Cursor worst = cursor(100, PageAssembler.MAX_POSITIONS, "\u00fc".repeat(32));
        Cursor largest =
                cursor(PageAssembler.MAX_RANGES, PageAssembler.MAX_POSITIONS, "y".repeat(64));
        for (Cursor cursor :
                List.of(
                        usual,
                        worst,
                        largest,
                        new Cursor(
                                12,
                                QUERY_DIGEST,
                                List.of(new RangeProgress(KeyRange.ALL, 1, null))))) {
            assertSame(cursor, codec.decode(codec.encode(cursor), QUERY_DIGEST, layouts(12, 12)));
        }
        assertTrue(
                codec.encode(usual).length() <= 2_600,
                "length of a usual cursor: " + codec.encode(usual).length());
        assertTrue(
                codec.encode(worst).length() <= 14_535,
                "length of a cursor with most positions: " + codec.encode(worst).length());
        assertTrue(
                codec.encode(largest).length() <= CursorCodec.MAX_TEXT_LENGTH,
                "length of the largest cursor: " + codec.encode(largest).length());
        assertInstanceOf(
                PageError.CursorTooLarge.class,
                assertThrows(
                                OperatorErrorException.class,
                                () ->
                                        codec.encode(
                                                cursor(100, PageAssembler.MAX_POSITIONS + 1, 1L)))
                        .error());
        assertInstanceOf(
                PageError.CursorTooLarge.class,
                assertThrows(
                                OperatorErrorException.class,
                                () -> codec.encode(cursor(PageAssembler.MAX_RANGES + 1, 1, 1L)))
                        .error());
    }

    @Test
    void cursorWithAlteredCharacterIsRejected() throws OperatorErrorException {
        CursorCodec codec = new CursorCodec(KEY, null);
        String text = codec.encode(cursor(5, 3, "x"));
        for (int i = 0; i < text.length(); i++) {
            char other = text.charAt(i) == 'A' ? 'B' : 'A';
            String altered = text.substring(0, i) + other + text.substring(i + 1);
            OperatorError error = errorOf(codec, altered, QUERY_DIGEST, layouts(12, 1));
            assertTrue(
                    error instanceof PageError.InvalidCursor
                            || (i < 2 && error instanceof PageError.UnsupportedCursorFormat)
                            || (i < 7 && error instanceof PageError.UnknownSigningKey),
                    "altered character " + i + ": " + error);
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
                    errorOf(codec, bad, QUERY_DIGEST, layouts(12, 1))
                                    instanceof PageError.InvalidCursor
                            || errorOf(codec, bad, QUERY_DIGEST, layouts(12, 1))
                                    instanceof PageError.UnsupportedCursorFormat,
                    bad);
        }
    }

    @Test
    void wrongQueryLayoutOrKeyIsRejectedWithItsOwnError() throws OperatorErrorException {
        CursorCodec codec = new CursorCodec(KEY, null);
        String text = codec.encode(cursor(3, 1, 1L));
        assertInstanceOf(
                PageError.QueryMismatch.class,
                errorOf(codec, text, QUERY_DIGEST + 1, layouts(12, 1)));
        assertEquals(
                new PageError.LayoutNotYetKnown(12, 11),
                errorOf(codec, text, QUERY_DIGEST, layouts(11, 1)));
        assertEquals(
                new PageError.LayoutNoLongerKept(12, 13),
                errorOf(codec, text, QUERY_DIGEST, layouts(20, 13)));
        assertInstanceOf(
                PageError.UnknownSigningKey.class,
                errorOf(new CursorCodec(NEXT_KEY, null), text, QUERY_DIGEST, layouts(12, 1)));
    }

    /**
     * During a key rotation each router first accepts the new key besides the old one, then signs
     * with the new key, and drops the old key last.
     */
    @Test
    void cursorsOfBothKeysAreAcceptedDuringKeyRotation() throws OperatorErrorException {
        CursorCodec oldKeySigns = new CursorCodec(KEY, NEXT_KEY);
        CursorCodec newKeySigns = new CursorCodec(NEXT_KEY, KEY);
        Cursor cursor = cursor(3, 2, "x");
        assertSame(
                cursor,
                newKeySigns.decode(oldKeySigns.encode(cursor), QUERY_DIGEST, layouts(12, 1)));
        assertSame(
                cursor,
                oldKeySigns.decode(newKeySigns.encode(cursor), QUERY_DIGEST, layouts(12, 1)));
        assertNotEquals(oldKeySigns.encode(cursor), newKeySigns.encode(cursor));
    }

    @Test
    void invalidKeyIsReportedWithItsSetting() {
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
}
