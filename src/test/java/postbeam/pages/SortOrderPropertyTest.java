package postbeam.pages;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class SortOrderPropertyTest {
    private static final List<Integer> CODE_POINTS =
            List.of((int) 'a', 0xE9, 0xFFFD, 0xE000, 0x10000, 0x1F600);

    @Property(tries = 500, seed = "1")
    void sortOrderIsTotal(@ForAll long seed) {
        Random random = new Random(seed);
        SortOrder order = RandomRows.order(random);
        RowPosition a = RandomRows.position(random, order.keys().size());
        RowPosition b = RandomRows.position(random, order.keys().size());
        RowPosition c = RandomRows.position(random, order.keys().size());
        assertEquals(Integer.signum(order.compare(a, b)), -Integer.signum(order.compare(b, a)));
        assertEquals(a.equals(b), order.compare(a, b) == 0);
        if (order.compare(a, b) <= 0 && order.compare(b, c) <= 0) {
            assertTrue(order.compare(a, c) <= 0);
        }
    }

    @Property(tries = 500, seed = "1")
    void stringsAreOrderedByTheirUtf8Bytes(@ForAll long seed) {
        Random random = new Random(seed);
        String one = text(random);
        String other = text(random);
        int byBytes =
                Arrays.compareUnsigned(
                        one.getBytes(StandardCharsets.UTF_8),
                        other.getBytes(StandardCharsets.UTF_8));
        assertEquals(
                Integer.signum(byBytes),
                Integer.signum(new SortKey("k", false, false).compare(one, other)));
    }

    private static String text(Random random) {
        StringBuilder text = new StringBuilder("x");
        for (int length = random.nextInt(3); length > 0; length--) {
            text.appendCodePoint(CODE_POINTS.get(random.nextInt(CODE_POINTS.size())));
        }
        return text.toString();
    }

    @Example
    void missingValuesSortFirstOrLastAsConfiguredInBothDirections() {
        for (boolean descending : new boolean[] {false, true}) {
            assertTrue(new SortKey("k", descending, true).compare(null, 1L) < 0);
            assertTrue(new SortKey("k", descending, false).compare(null, "a") > 0);
            assertEquals(0, new SortKey("k", descending, false).compare(null, null));
            assertEquals(descending, new SortKey("k", descending, false).compare(1L, "1") > 0);
        }
    }
}
