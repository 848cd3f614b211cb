package postbeam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static postbeam.policy.PolicyFixture.ms;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.model.DataNode;
import postbeam.model.QueryClass;

class LatencyEstimatorTest {
    private final PolicyFixture fixture = new PolicyFixture(3, true);
    private final LatencyEstimator latencies = fixture.policy.modules().latencies;
    private final QueryClass idempotent = PolicyFixture.idempotent();

    @Test
    void overloadOfOneSecondRaisesTheBaselineLittleDespiteManyAnswers() {
        latencies.setBaseline(idempotent, ms(10));
        for (int i = 0; i < 100; i++) {
            fixture.start(ms(10L * i), idempotent, 1);
            Attempt attempt = fixture.lastSent();
            fixture.policy.onAttemptEnded(
                    ms(10L * i), attempt, AttemptOutcome.SUCCESS, ms(500), false);
        }
        Duration baseline = latencies.baseline(idempotent);
        assertTrue(baseline.compareTo(ms(50)) < 0, baseline.toString());
        assertTrue(baseline.compareTo(ms(20)) > 0, baseline.toString());
    }

    @Test
    void firstBaselineOfAClassIsDividedByTheTypicalSlowdown() {
        latencies.setBaseline(idempotent, ms(100));
        fixture.start(idempotent, 3);
        fixture.sent.forEach(attempt -> fixture.end(ms(500), attempt, AttemptOutcome.SUCCESS));
        QueryClass rare = PolicyFixture.idempotent();
        fixture.start(ms(500), rare, 1);
        fixture.end(ms(1000), fixture.sent.get(3), AttemptOutcome.SUCCESS);
        Duration baseline = latencies.baseline(rare);
        assertTrue(baseline.compareTo(ms(200)) < 0, baseline.toString());
    }

    @Test
    void baselineIsGuessedFromTheObjectiveBeforeAnyAnswer() {
        assertEquals(ms(200), latencies.baseline(idempotent));
    }

    @Test
    void slowdownOfANodeExpiresWithoutNewAnswers() {
        latencies.setBaseline(idempotent, ms(100));
        fixture.start(idempotent, 1);
        DataNode node = fixture.sent.get(0).node;
        fixture.end(ms(300), fixture.sent.get(0), AttemptOutcome.SUCCESS);
        assertTrue(latencies.typicalSlowdown(ms(300)) > 2);
        assertEquals(1, latencies.typicalSlowdown(ms(4301)));
        assertEquals(1, latencies.relativeSlowdown(ms(4301), node));
    }
}
