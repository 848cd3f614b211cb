package postbeam.router;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RecentIdsTest {
    private final RecentIds ids = new RecentIds();

    private void addNumbered(int from, int to) {
        for (int i = from; i < to; i++) {
            ids.add("id" + i);
        }
    }

    @Test
    void addedIdsAreContainedAndOthersAreNot() {
        addNumbered(0, 1000);
        for (int i = 0; i < 1000; i++) {
            assertTrue(ids.contains("id" + i));
            assertFalse(ids.contains("id" + (1000 + i)));
        }
    }

    /** Guards against an id that is forgotten while attempts with it may still be answered. */
    @Test
    void atLeastOneGenerationIsRemembered() {
        int count = 5 * RecentIds.GENERATION_SIZE / 2;
        addNumbered(0, count);
        for (int i = count - RecentIds.GENERATION_SIZE; i < count; i++) {
            assertTrue(ids.contains("id" + i));
        }
    }

    /** Guards against memory that grows with each id that clients make up. */
    @Test
    void idsBeyondTwoGenerationsAreForgotten() {
        addNumbered(0, 3 * RecentIds.GENERATION_SIZE);
        for (int i = 0; i < RecentIds.GENERATION_SIZE; i++) {
            assertFalse(ids.contains("id" + i));
        }
    }
}
