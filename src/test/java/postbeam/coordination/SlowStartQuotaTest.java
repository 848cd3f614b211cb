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
     * Parameters for two routers and a budget of 8: 2 are reserved, of which this router has 1; the
     * in-flight limit is 4, of which this router has 2; 2 may be leased.
     */
    private final LeaseParameters parameters =
            new LeaseParameters(ms(600), ms(1000), ms(10), 0.25, 0.5, 2, 0);

    private final SlowStartQuota quota = new SlowStartQuota(parameters, 2, true);
    private final LeaseTable leaseTable = new LeaseTable();

    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    private static ProcessIdentity process(String name) {
        return new ProcessIdentity(name, 1);
    }

    private void acquireAndRelease(long at, double amount) {
        assertTrue(quota.tryAcquire(ms(at), amount, BUDGET));
        quota.release(amount);
    }

    @Test
    void withoutALeaseOnlyTheReservedQuotaIsAvailable() {
        acquireAndRelease(0, 1);
        assertFalse(quota.tryAcquire(ms(1000), 0.1, BUDGET));
        acquireAndRelease(1040, 1);
    }

    @Test
    void leaseAllowsItsAmountPerWindowAndItsDurationCountsFromItsRequest() {
        quota.tryAcquire(ms(0), 5, BUDGET);
        assertTrue(quota.requestAmount(ms(0), BUDGET, 1) > 0);
        acquireAndRelease(1, 1);
        assertFalse(quota.tryAcquire(ms(10), 2, BUDGET));
        quota.onGrant(ms(300), 1, 2);
        acquireAndRelease(300, 2);
        assertEquals(0, quota.available(ms(599), BUDGET), "work acquired in the window counts");
        assertEquals(2, quota.largestLease(ms(599)));
        assertEquals(0, quota.largestLease(ms(600)));
        acquireAndRelease(1400, 1);
        assertFalse(quota.tryAcquire(ms(1401), 0.1, BUDGET), "only the reserve is left");
    }

    @Test
    void largestLeaseAppliesInsteadOfTheSumOfAllLeases() {
        quota.tryAcquire(ms(0), 5, BUDGET);
        assertTrue(quota.requestAmount(ms(0), BUDGET, 1) > 0);
        assertEquals(
                0, quota.requestAmount(ms(100), BUDGET, 2), "one request in a third of a lease");
        assertTrue(quota.requestAmount(ms(200), BUDGET, 2) > 0);
        quota.onGrant(ms(210), 2, 2);
        quota.onGrant(ms(220), 1, 1);
        assertEquals(2, quota.largestLease(ms(220)));
    }

    @Test
    void grantAfterTheLeaseExpiredIsIgnored() {
        quota.tryAcquire(ms(0), 5, BUDGET);
        quota.requestAmount(ms(0), BUDGET, 1);
        quota.onGrant(ms(600), 1, 2);
        assertEquals(0, quota.largestLease(ms(600)));
    }

    @Test
    void quotaBeyondTheInFlightLimitIsRefusedUntilSomeIsReleased() {
        quota.tryAcquire(ms(0), 5, BUDGET);
        quota.requestAmount(ms(0), BUDGET, 1);
        quota.onGrant(ms(1), 1, 2);
        assertTrue(quota.tryAcquire(ms(2), 2, BUDGET));
        assertFalse(
                quota.tryAcquire(ms(3), 0.5, BUDGET),
                "the window has room, but the in-flight limit does not");
        quota.release(2);
        assertTrue(quota.tryAcquire(ms(4), 0.5, BUDGET));
    }

    @Test
    void smallBudgetOfANodeIsSharedByFewRoutersOnWhichAllRoutersAgree() {
        LeaseParameters forManyRouters =
                new LeaseParameters(ms(600), ms(1000), ms(10), 0.25, 0.25, 100, 0.1);
        List<String> names = IntStream.range(0, 100).mapToObj(i -> "r" + i).toList();
        NodeIncarnation node = new NodeIncarnation("n", 7);
        int participants = forManyRouters.participants(2);
        assertEquals(5, participants);
        assertTrue(forManyRouters.inFlightLimit(2, participants) >= 0.1 - 1e-9);
        assertEquals(
                4,
                names.stream()
                        .filter(
                                name ->
                                        forManyRouters.participates(
                                                node, name, names, participants))
                        .count());
        // Routers with lists that differ in one name select no more than the participants together.
        List<String> namesWithOneMore = IntStream.range(0, 101).mapToObj(i -> "r" + i).toList();
        assertTrue(
                namesWithOneMore.stream()
                                .filter(
                                        name ->
                                                (forManyRouters.participates(
                                                                        node,
                                                                        name,
                                                                        names,
                                                                        participants)
                                                                && names.contains(name))
                                                        || forManyRouters.participates(
                                                                node,
                                                                name,
                                                                namesWithOneMore,
                                                                participants))
                                .count()
                        <= participants);
    }

    @Test
    void leaseTableGrantsTheUnleasedBudgetAndRepeatsTheGrantForARepeatedRequest() {
        assertEquals(
                4, leaseTable.grant(ms(0), process("a"), 1, 4, 6, parameters.leaseRetention()));
        assertEquals(
                4, leaseTable.grant(ms(1), process("a"), 1, 4, 6, parameters.leaseRetention()));
        assertEquals(
                2, leaseTable.grant(ms(2), process("b"), 1, 4, 6, parameters.leaseRetention()));
        assertEquals(
                0, leaseTable.grant(ms(3), process("c"), 1, 4, 6, parameters.leaseRetention()));
        assertEquals(
                0,
                leaseTable.grant(
                        ms(4), new ProcessIdentity("a", 2), 1, 4, 6, parameters.leaseRetention()),
                "leases of an earlier process of the router count");
        assertEquals(
                2,
                leaseTable.grant(ms(5), process("a"), 2, 6, 6, parameters.leaseRetention()),
                "an even share once other routers request leases");
        assertEquals(
                4,
                leaseTable.grant(
                        parameters.leaseRetention().multipliedBy(2),
                        process("b"),
                        2,
                        4,
                        6,
                        parameters.leaseRetention()));
    }

    @Test
    void invalidParametersAreRejected() {
        for (double[] fractions : new double[][] {{0, 0.5}, {0.5, 0}, {0.5, 0.5}, {1, 0.1}}) {
            assertThrows(
                    IllegalArgumentException.class,
                    () ->
                            new LeaseParameters(
                                    ms(1), ms(1), ms(0), fractions[0], fractions[1], 2, 0));
        }
        assertThrows(
                IllegalArgumentException.class,
                () -> new LeaseParameters(ms(0), ms(1), ms(0), 0.5, 0.1, 2, 0));
        assertThrows(
                IllegalArgumentException.class, () -> new ElectionTimeouts(ms(2), ms(1), ms(0)));
    }
}
