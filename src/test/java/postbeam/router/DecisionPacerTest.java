package postbeam.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class DecisionPacerTest {
    private final MonotonicClock clock = new MonotonicClock();
    private final DecisionPacer pacer = new DecisionPacer(clock, new DiscoveryFreshness());

    @Test
    void firstDecisionIsAllowedAtOnce() {
        assertTrue(pacer.mayDecide(Duration.ZERO));
    }

    @Test
    void longDecisionIsFollowedByPauseOfLimitedLength() throws InterruptedException {
        pacer.beginDecision();
        Thread.sleep(20);
        Duration before = clock.now();
        pacer.endDecision();
        assertFalse(pacer.mayDecide(before.plusMillis(9)));
        assertTrue(pacer.mayDecide(clock.now().plusMillis(10)));
    }

    @Test
    void wakeUpIsClaimedOnceBetweenTwoDecisions() {
        assertTrue(pacer.claimWakeUp());
        assertFalse(pacer.claimWakeUp());
        pacer.beginDecision();
        assertTrue(pacer.claimWakeUp());
        assertEquals(1, pacer.decisionCount());
    }
}
