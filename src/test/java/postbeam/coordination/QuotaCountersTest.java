package postbeam.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class QuotaCountersTest {
    private static final List<String> MEMBERS = List.of("a", "b", "c");

    private final QuotaCounters a = counters("a", 1);
    private final QuotaCounters b = counters("b", 1);
    private final QuotaCounters c = counters("c", 1);

    private static QuotaCounters counters(String name, long incarnation) {
        return new QuotaCounters(new ProcessIdentity(name, incarnation), MEMBERS, 3, 8);
    }

    @Test
    void routerThatReceivedNoEntriesMayCountTheQuotaDividedByTheNumberOfRouters() {
        assertTrue(a.tryCount("m", 10, 2, 6));
        assertFalse(a.tryCount("m", 10, 0.1, 6));
        assertTrue(a.tryCount("m", 11, 2, 6));
    }

    @Test
    void quotaGivenUpByARouterIsDividedEvenlyAmongTheOthers() {
        b.startBucket(9);
        b.capOwnShare("m", 10, 0, 6);
        a.startBucket(10);
        a.merge(b.entriesToSend());
        a.merge(b.entriesToSend());
        assertEquals(3, a.quota("m", 10, 6));
        assertTrue(a.tryCount("m", 10, 3, 6));
        assertFalse(a.tryCount("m", 10, 0.1, 6));
        assertFalse(b.tryCount("m", 10, 0.1, 6), "a yielded share is not taken back");
        b.capOwnShare("m", 10, 2, 6);
        assertFalse(b.tryCount("m", 10, 0.1, 6));
        assertFalse(
                c.tryCount("m", 10, 2.1, 6),
                "a router without the entry may not use the yielded share");
    }

    @Test
    void repeatedAndOlderEntriesAreIgnored() {
        b.tryCount("m", 10, 1, 6);
        List<QuotaCounterEntry> earlier = b.entriesToSend();
        b.tryCount("m", 10, 1, 6);
        a.startBucket(10);
        a.merge(b.entriesToSend());
        a.merge(earlier);
        a.merge(b.entriesToSend());
        assertEquals(2, a.knownTotal("m", 10));
        a.merge(List.of(new QuotaCounterEntry(new ProcessIdentity("b", 0), "m", 10, 99, 7, 0)));
        a.merge(
                List.of(
                        new QuotaCounterEntry(
                                new ProcessIdentity("unknown", 9), "m", 10, 99, 7, 0)));
        assertEquals(2, a.knownTotal("m", 10));
        a.merge(List.of(new QuotaCounterEntry(new ProcessIdentity("b", 2), "m", 10, 1, 0, 2)));
        assertEquals(
                0,
                a.knownTotal("m", 10),
                "the entry of the later process replaces that of the earlier");
    }

    @Test
    void restartedRouterMayNotCountInBucketsOfItsEarlierProcess() {
        QuotaCounters restarted = counters("a", 2);
        assertFalse(restarted.tryCount("m", 9, 1, 6));
        assertTrue(restarted.tryCount("m", 10, 1, 6));
    }

    @Test
    void memoryAndMessagesAreBoundedForAThousandRouters() {
        List<String> names = IntStream.range(0, 1000).mapToObj(i -> "r" + i).toList();
        QuotaCounters counters = new QuotaCounters(new ProcessIdentity("r0", 1), names, 1000, 0);
        counters.startBucket(2);
        for (int i = 0; i < 1000; i++) {
            for (int key = 0; key < 2000; key += i < 3 ? 1 : 40) {
                for (long bucket = -1; bucket <= 6; bucket++) {
                    counters.merge(
                            List.of(
                                    new QuotaCounterEntry(
                                            new ProcessIdentity("r" + i, 1),
                                            "k" + key,
                                            bucket,
                                            1,
                                            1,
                                            1)));
                }
            }
        }
        assertTrue(counters.size() <= QuotaCounters.MAX_KEYS * QuotaCounters.BUCKETS_KEPT * 1000);
        assertTrue(counters.size() > 1000);
        assertEquals(QuotaCounters.MAX_ENTRIES_PER_MESSAGE, counters.entriesToSend().size());
        counters.startBucket(20);
        assertEquals(0, counters.size());
    }
}
