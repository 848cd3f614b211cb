package postbeam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static postbeam.policy.PolicyFixture.ms;

import org.junit.jupiter.api.Test;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.model.QueryClass;

class StragglerDetectorTest {
    private final PolicyFixture fixture = new PolicyFixture(1, true);
    private final LatencyEstimator latencies = fixture.policy.modules().latencies;
    private final QueryClass idempotent = PolicyFixture.idempotent();

    private StragglerDetector detector(boolean hedgingAllowed) {
        AttemptLimits limits = new AttemptLimits(3, hedgingAllowed, true, true, 1);
        return new StragglerDetector(limits, latencies, fixture.policy.modules().ejection);
    }

    @Test
    void timeUntilAnAttemptIsOverdueIsBoundedByTheObjective() {
        latencies.setBaseline(idempotent, ms(10));
        assertEquals(ms(900), detector(true).overdueAfter(ms(0), idempotent));
        latencies.setBaseline(idempotent, ms(440));
        assertEquals(ms(1100), detector(true).overdueAfter(ms(0), idempotent));
        latencies.setBaseline(idempotent, ms(600));
        assertEquals(ms(1200), detector(true).overdueAfter(ms(0), idempotent));
        assertEquals(
                PolicyFixture.OBJECTIVE,
                detector(false).overdueAfter(ms(0), idempotent),
                "cancelling earlier would waste the time spent in the queue of the node");
    }

    @Test
    void overdueAttemptIsLostIfItsNodeIsUnresponsiveOrHasAnsweredALaterAttempt() {
        latencies.setBaseline(idempotent, ms(10));
        StragglerDetector detector = detector(true);
        fixture.start(idempotent, 1);
        Attempt first = fixture.sent.get(0);
        assertFalse(detector.isLost(ms(900), first));
        assertTrue(detector.isUnresponsive(ms(901), first));
        fixture.start(ms(500), idempotent, 1);
        Attempt second = fixture.sent.get(1);
        fixture.end(ms(800), second, AttemptOutcome.SUCCESS);
        assertFalse(detector.isUnresponsive(ms(901), first));
        assertTrue(detector.isLost(ms(901), first));
    }
}
