package postbeam.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class SlowStartQuotaTest {
    private static final double BUDGET = 8;

    /**
     * Of the budget of 8: reserve 2, of which 1 is this router's; under way 4, 2 of it; to lease 2.
     */
    private final LeaseParameters terms =
            new LeaseParameters(ms(600), ms(1000), ms(10), 0.25, 0.5, 2, 0);

    private final SlowStartQuota leases = new SlowStartQuota(terms, 2, true);
    private final LeaseTable ledger = new LeaseTable();

    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    private static ProcessIdentity who(String name) {
        return new ProcessIdentity(name, 1);
    }

    private void take(long at, double amount) {
        assertTrue(leases.tryAcquire(ms(at), amount, BUDGET));
        leases.release(amount);
    }

    @Test
    void withoutALeaseOnlyTheReservedQuotaIsAvailable() {
        take(0, 1);
        assertFalse(leases.tryAcquire(ms(1000), 0.1, BUDGET));
        take(1040, 1);
    }

    @Test
    void leaseIsARateAndExpiresCountedFromItsRequest() {
        leases.tryAcquire(ms(0), 5, BUDGET);
        assertTrue(leases.requestAmount(ms(0), BUDGET, 1) > 0);
        take(1, 1);
        assertFalse(leases.tryAcquire(ms(10), 2, BUDGET));
        leases.onGrant(ms(300), 1, 2);
        take(300, 2);
        assertEquals(0, leases.available(ms(599), BUDGET), "what was checked in the window counts");
        assertEquals(2, leases.largestLease(ms(599)));
        assertEquals(0, leases.largestLease(ms(600)));
        take(1400, 1);
        assertFalse(leases.tryAcquire(ms(1401), 0.1, BUDGET), "the reserve alone is left");
    }

    @Test
    void largestOfSeveralLeasesCountsNotTheirSum() {
        leases.tryAcquire(ms(0), 5, BUDGET);
        assertTrue(leases.requestAmount(ms(0), BUDGET, 1) > 0);
        assertEquals(
                0, leases.requestAmount(ms(100), BUDGET, 2), "asked again each third of a lease");
        assertTrue(leases.requestAmount(ms(200), BUDGET, 2) > 0);
        leases.onGrant(ms(210), 2, 2);
        leases.onGrant(ms(220), 1, 1);
        assertEquals(2, leases.largestLease(ms(220)));
    }

    @Test
    void grantAfterTheLeaseExpiredIsIgnored() {
        leases.tryAcquire(ms(0), 5, BUDGET);
        leases.requestAmount(ms(0), BUDGET, 1);
        leases.onGrant(ms(600), 1, 2);
        assertEquals(0, leases.largestLease(ms(600)));
    }

    @Test
    void workInFlightIsLimited() {
        leases.tryAcquire(ms(0), 5, BUDGET);
        leases.requestAmount(ms(0), BUDGET, 1);
        leases.onGrant(ms(1), 1, 2);
        assertTrue(leases.tryAcquire(ms(2), 2, BUDGET));
        assertFalse(
                leases.tryAcquire(ms(3), 0.5, BUDGET),
                "there is room in the window, but not for a process that stops here");
        leases.release(2);
        assertTrue(leases.tryAcquire(ms(4), 0.5, BUDGET));
    }

    @Test
    void fewerRoutersShareANodeWhoseBudgetIsSmallAndAllAgreeWhich() {
        LeaseParameters many = new LeaseParameters(ms(600), ms(1000), ms(10), 0.25, 0.25, 100, 0.1);
        List<String> names = IntStream.range(0, 100).mapToObj(i -> "r" + i).toList();
        NodeIncarnation node = new NodeIncarnation("n", 7);
        int sharers = many.participants(2);
        assertEquals(5, sharers);
        assertTrue(many.inFlightLimit(2, sharers) >= 0.1 - 1e-9);
        assertEquals(
                4,
                names.stream()
                        .filter(name -> many.participates(node, name, names, sharers))
                        .count());
        // Two that know lists that differ in one name: together no more than there are parts.
        List<String> grown = IntStream.range(0, 101).mapToObj(i -> "r" + i).toList();
        assertTrue(
                grown.stream()
                                .filter(
                                        name ->
                                                (many.participates(node, name, names, sharers)
                                                                && names.contains(name))
                                                        || many.participates(
                                                                node, name, grown, sharers))
                                .count()
                        <= sharers);
    }

    @Test
    void leaseTableGrantsWhatIsLeftAndRepeatsItsAnswer() {
        assertEquals(4, ledger.grant(ms(0), who("a"), 1, 4, 6, terms.leaseRetention()));
        assertEquals(4, ledger.grant(ms(1), who("a"), 1, 4, 6, terms.leaseRetention()));
        assertEquals(2, ledger.grant(ms(2), who("b"), 1, 4, 6, terms.leaseRetention()));
        assertEquals(0, ledger.grant(ms(3), who("c"), 1, 4, 6, terms.leaseRetention()));
        assertEquals(
                0,
                ledger.grant(ms(4), new ProcessIdentity("a", 2), 1, 4, 6, terms.leaseRetention()),
                "an earlier run's leases count");
        assertEquals(
                2,
                ledger.grant(ms(5), who("a"), 2, 6, 6, terms.leaseRetention()),
                "even parts once others ask, too");
        assertEquals(
                4,
                ledger.grant(
                        terms.leaseRetention().multipliedBy(2),
                        who("b"),
                        2,
                        4,
                        6,
                        terms.leaseRetention()));
    }

    @Test
    void invalidParametersAreRejected() {
        for (double[] shares : new double[][] {{0, 0.5}, {0.5, 0}, {0.5, 0.5}, {1, 0.1}}) {
            assertThrows(
                    IllegalArgumentException.class,
                    () -> new LeaseParameters(ms(1), ms(1), ms(0), shares[0], shares[1], 2, 0));
        }
        assertThrows(
                IllegalArgumentException.class,
                () -> new LeaseParameters(ms(0), ms(1), ms(0), 0.5, 0.1, 2, 0));
        assertThrows(
                IllegalArgumentException.class, () -> new ElectionTimeouts(ms(2), ms(1), ms(0)));
    }
}
