package postbeam.shared;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class OfficeTest {
    private static final List<String> FLEET = List.of("a", "b", "c");
    private static final NodeKey NODE = new NodeKey("n", 1);

    private final OfficeTerms terms = new OfficeTerms(ms(300), ms(900), ms(10));
    private final LeaseTerms leases = new LeaseTerms(ms(200), ms(100), ms(10), 0.25, 0.25, 3, 0);
    private final Office a = office("a", 0);
    private final Office b = office("b", 0);
    private final Office c = office("c", 0);

    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    private Office office(String name, long startedAt) {
        return new Office(new Who(name, startedAt), 0, FLEET, terms, ms(startedAt), new Random(1));
    }

    private long win(Office who, long from, Office... voters) {
        Ballot ballot = null;
        long at = from;
        while (ballot == null) {
            ballot = who.tick(ms(at++));
        }
        for (Office voter : voters) {
            who.answered(ms(at), voter.asked(ms(at), ballot));
        }
        return at;
    }

    @Test
    void aMajorityOfAllConfiguredMakesAKeeperAndItsOfficeEndsFromTheQuestionOn() {
        long at = win(a, 910);
        assertFalse(a.inOffice(ms(at)), "one of three");
        at = win(a, at + 100, b);
        assertTrue(a.inOffice(ms(at)));
        assertTrue(a.inOffice(ms(at - 1 + 299)));
        assertFalse(a.inOffice(ms(at - 1 + 300)));
    }

    @Test
    void whoPromisedVotesForNobodyElseUntilAfterThatOffice() {
        long at = win(a, 910, b);
        Ballot other = new Ballot(0, 9, 1, new Who("c", 0));
        assertFalse(b.asked(ms(at + 309), other).given());
        assertTrue(b.asked(ms(at + 310), other).given());
        assertFalse(
                b.asked(ms(at + 311), new Ballot(0, 9, 1, new Who("a", 0))).given(),
                "once in a term");
        assertFalse(
                b.asked(ms(at + 700), new Ballot(0, 8, 1, new Who("a", 0))).given(),
                "no older term");
        assertFalse(b.asked(ms(at + 700), new Ballot(0, 10, 1, new Who("stranger", 0))).given());
    }

    @Test
    void whoStartsVotesForNobodyUntilTheLongestOfficeIsPast() {
        Ballot ballot = new Ballot(0, 1, 1, new Who("a", 0));
        Office again = office("b", 1000);
        assertFalse(again.asked(ms(1909), ballot).given());
        assertNull(again.tick(ms(1909)));
        assertTrue(again.asked(ms(1910), ballot).given());
    }

    @Test
    void anOfficeIsRenewedWithoutAGapAndAnswersToOtherRoundsAreNotHeard() {
        long at = win(a, 910, b);
        Duration since = a.since();
        Ballot anew = a.tick(ms(at + 100));
        assertNotNull(anew);
        assertEquals(a.term(), anew.term());
        a.answered(
                ms(at + 110), new Vote(0, anew.term(), anew.round() - 1, "b", true, anew.term()));
        assertFalse(a.inOffice(ms(at + 320)));
        a.answered(ms(at + 110), c.asked(ms(at + 110), anew));
        assertTrue(a.inOffice(ms(at + 320)));
        assertEquals(since, a.since());
        assertEquals(new Who("a", 0), c.keeper(ms(at + 120)));
    }

    @Test
    void aSuccessorGrantsNothingUntilAllThatCanHaveBeenGrantedIsPast() {
        Keeper keeper = new Keeper(a, leases);
        LeaseAsk ask = new LeaseAsk(NODE, new Who("b", 0), 1, 1, 8);
        assertEquals(0, keeper.asked(ms(910), ask).amount());
        long at = win(a, 910, b);
        long won = at;
        for (; at < won + 310; at += 90) {
            assertEquals(0, keeper.asked(ms(at), ask).amount());
            win(a, at + 20, b, c);
        }
        assertEquals(1, keeper.asked(ms(at), ask).amount());
        assertEquals(
                3, keeper.asked(ms(at), new LeaseAsk(NODE, new Who("c", 0), 1, 4, 8)).amount());
        assertEquals(
                0,
                keeper.asked(ms(at + 400), new LeaseAsk(NODE, new Who("c", 0), 2, 4, 8)).amount());
    }
}
