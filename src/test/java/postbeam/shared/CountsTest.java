package postbeam.shared;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class CountsTest {
    private static final List<String> FLEET = List.of("a", "b", "c");

    private final Counts a = counts("a", 1);
    private final Counts b = counts("b", 1);
    private final Counts c = counts("c", 1);

    private static Counts counts(String name, long run) {
        return new Counts(new Who(name, run), FLEET, 3, 8);
    }

    @Test
    void whoHearsNothingHasItsEvenShareAndNoMore() {
        assertTrue(a.count("m", 10, 2, 6));
        assertFalse(a.count("m", 10, 0.1, 6));
        assertTrue(a.count("m", 11, 2, 6));
    }

    @Test
    void whatOneGivesUpTheOthersUseInEvenParts() {
        b.begun(9);
        b.keep("m", 10, 0, 6);
        a.begun(10);
        a.heard(b.tell());
        a.heard(b.tell());
        assertEquals(3, a.share("m", 10, 6));
        assertTrue(a.count("m", 10, 3, 6));
        assertFalse(a.count("m", 10, 0.1, 6));
        assertFalse(b.count("m", 10, 0.1, 6), "given up for good");
        b.keep("m", 10, 2, 6);
        assertFalse(b.count("m", 10, 0.1, 6));
        assertFalse(c.count("m", 10, 2.1, 6), "who has not heard of it has nothing of it");
    }

    @Test
    void newsIsMergedOnceAndOldNewsAndOldRunsChangeNothing() {
        b.count("m", 10, 1, 6);
        List<CountEntry> old = b.tell();
        b.count("m", 10, 1, 6);
        a.begun(10);
        a.heard(b.tell());
        a.heard(old);
        a.heard(b.tell());
        assertEquals(2, a.atLeast("m", 10));
        a.heard(List.of(new CountEntry(new Who("b", 0), "m", 10, 99, 7, 0)));
        a.heard(List.of(new CountEntry(new Who("stranger", 9), "m", 10, 99, 7, 0)));
        assertEquals(2, a.atLeast("m", 10));
        a.heard(List.of(new CountEntry(new Who("b", 2), "m", 10, 1, 0, 2)));
        assertEquals(0, a.atLeast("m", 10), "the later run's own word");
    }

    @Test
    void whoCameBackCountsNothingWhereItsEarlierRunMayHave() {
        Counts again = counts("a", 2);
        assertFalse(again.count("m", 9, 1, 6));
        assertTrue(again.count("m", 10, 1, 6));
    }

    @Test
    void memoryAndMessagesAreBoundedForAThousandRouters() {
        List<String> names = IntStream.range(0, 1000).mapToObj(i -> "r" + i).toList();
        Counts one = new Counts(new Who("r0", 1), names, 1000, 0);
        one.begun(2);
        for (int i = 0; i < 1000; i++) {
            for (int key = 0; key < 2000; key += i < 3 ? 1 : 40) {
                for (long bucket = -1; bucket <= 6; bucket++) {
                    one.heard(
                            List.of(
                                    new CountEntry(
                                            new Who("r" + i, 1), "k" + key, bucket, 1, 1, 1)));
                }
            }
        }
        assertTrue(one.size() <= Counts.KEYS_MOST * Counts.BUCKETS * 1000);
        assertTrue(one.size() > 1000);
        assertEquals(Counts.TOLD_MOST, one.tell().size());
        one.begun(20);
        assertEquals(0, one.size());
    }
}
