package postbeam.shared;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class NodeLeasesTest {
    private static final double BUDGET = 8;

    private final LeaseTerms terms = new LeaseTerms(ms(500), ms(1000), ms(10), 0.25, 2);
    private final NodeLeases leases = new NodeLeases(terms);
    private final Ledger ledger = new Ledger();

    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    /** Reached so long ago that it may ask. */
    private void reached() {
        leases.reached(ms(0).minus(terms.quarantine()));
    }

    private long leased(long at, double amount) {
        long number = leases.ask(ms(at));
        assertTrue(leases.granted(ms(at), number, amount));
        leases.stands(ms(at), number, true);
        return number;
    }

    @Test
    void withoutAStoreItKeepsToItsPartOfTheReserve() {
        assertTrue(leases.allows(ms(0), 1, BUDGET));
        leases.sent(ms(0), 1, BUDGET);
        assertFalse(leases.allows(ms(1000), 1, BUDGET));
        assertTrue(leases.allows(ms(1001), 1, BUDGET));
        assertEquals(0, leases.ask(ms(1001)));
    }

    @Test
    void aLeaseIsUsedFirstAndNeverPastItsEndFromTheQuestionOn() {
        reached();
        long number = leases.ask(ms(0));
        assertTrue(leases.granted(ms(300), number, 3));
        assertFalse(leases.allows(ms(300), 3, BUDGET), "granted, but not yet seen to stand");
        leases.stands(ms(400), number, true);
        assertTrue(leases.allows(ms(400), 3, BUDGET));
        leases.sent(ms(400), 2, BUDGET);
        assertEquals(1, leases.leased(ms(499)));
        assertEquals(0, leases.leased(ms(500)));
        assertTrue(leases.allows(ms(500), 1, BUDGET), "the reserve was left alone");
    }

    @Test
    void aLateLostOrEmptyAnswerIsNoGrant() {
        reached();
        long late = leases.ask(ms(0));
        assertFalse(leases.granted(ms(500), late, 3));
        long empty = leases.ask(ms(500));
        assertFalse(leases.granted(ms(510), empty, 0));
        long denied = leases.ask(ms(520));
        leases.granted(ms(530), denied, 3);
        leases.stands(ms(540), denied, false);
        assertFalse(leases.allows(ms(540), 3, BUDGET));
        long cut = leases.ask(ms(550));
        leases.granted(ms(560), cut, 3);
        leases.lost();
        leases.stands(ms(570), cut, true);
        assertFalse(leases.allows(ms(570), 3, BUDGET));
    }

    @Test
    void aStoreThatIsReachedAgainIsNotAskedUntilAllThatItCanHaveForgottenIsPast() {
        reached();
        leased(0, 3);
        leases.lost();
        leases.reached(ms(100));
        assertTrue(leases.allows(ms(110), 3, BUDGET), "what it holds it may use");
        assertEquals(0, leases.ask(ms(110)));
        assertEquals(0, leases.ask(ms(100).plus(terms.quarantine()).minusNanos(1)));
        assertTrue(leases.ask(ms(100).plus(terms.quarantine())) > 0);
    }

    @Test
    void questionsOnTheirWayAreBounded() {
        reached();
        assertTrue(leases.ask(ms(0)) > 0);
        assertTrue(leases.ask(ms(0)) > 0);
        assertEquals(0, leases.ask(ms(0)));
        assertTrue(leases.ask(ms(500)) > 0, "one that was not answered is forgotten at its end");
    }

    @Test
    void theStoreLeasesNoMoreThanIsLeftAndAnswersARepeatAsBefore() {
        assertEquals(4, ledger.grant(ms(0), "a", 1, 4, 6, terms.counted()));
        assertEquals(4, ledger.grant(ms(1), "a", 1, 4, 6, terms.counted()));
        assertEquals(2, ledger.grant(ms(2), "b", 1, 4, 6, terms.counted()));
        assertEquals(0, ledger.grant(ms(3), "b", 2, 4, 6, terms.counted()));
        assertTrue(ledger.stands(ms(3), "b", 1));
        assertFalse(ledger.stands(ms(3), "b", 2));
        assertEquals(4, ledger.grant(terms.counted(), "b", 3, 4, 6, terms.counted()), "the first is past");
        assertFalse(ledger.stands(terms.counted(), "a", 1));
    }

    @Test
    void termsThatCantHoldAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> new LeaseTerms(ms(1), ms(1), ms(0), 0, 2));
        assertThrows(IllegalArgumentException.class, () -> new LeaseTerms(ms(1), ms(1), ms(0), 1, 2));
        assertThrows(IllegalArgumentException.class, () -> new LeaseTerms(ms(0), ms(1), ms(0), 0.5, 2));
    }
}
