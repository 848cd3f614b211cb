package postbeam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static postbeam.policy.PolicyFixture.ms;

import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.model.AttemptOutcome;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.ShardRequest;

class CompletionForecastTest {
    private final PolicyFixture fixture = new PolicyFixture(3, true);
    private final QueryClass idempotent = PolicyFixture.idempotent();

    @Test
    void queryIsStartedWhileHalfOfTheNodesAreSlow() {
        PolicyFixture fourNodes = new PolicyFixture(4, true);
        fourNodes.policy.modules().latencies.setBaseline(idempotent, ms(100));
        for (int i = 0; i < 4; i++) {
            fourNodes.start(idempotent, 1);
        }
        for (int i = 0; i < 4; i++) {
            fourNodes.end(ms(i < 2 ? 100 : 1500), fourNodes.sent.get(i), AttemptOutcome.SUCCESS);
        }
        fourNodes.start(ms(1500), idempotent, 1);
        Query query = fourNodes.start(ms(1510), idempotent, 2);
        assertEquals(2, query.requestsInFlight());
        assertFalse(fourNodes.endings.contains("rejected"));
    }

    @Test
    void queryThatCannotMeetItsDeadlineIsRejectedBeforeItStarts() {
        fixture.start(idempotent, 2);
        fixture.policy.modules().latencies.setBaseline(idempotent, ms(300));
        Query shortDeadline = new Query(idempotent, null, ms(0), ms(500));
        fixture.policy.onQuery(ms(0), shortDeadline);
        new ShardRequest(shortDeadline, 0, 0.5, null);
        new ShardRequest(shortDeadline, 1, 0.5, null);
        fixture.policy.onBatchEnd(ms(0));
        assertEquals(List.of("rejected"), fixture.endings);
    }

    @Test
    void queryThatCannotMeetItsDeadlineIsStartedWhileNothingIsInFlight() {
        fixture.policy.modules().latencies.setBaseline(idempotent, ms(1900));
        fixture.start(idempotent, 2);
        assertEquals(2, fixture.sent.size());
    }

    @Test
    void largeQueryThatNeedsTooManyRoundsThroughTheWindowIsNotStarted() {
        fixture.policy.modules().latencies.setBaseline(idempotent, ms(100));
        fixture.start(idempotent, 1);
        Query large = fixture.start(idempotent, 1000);
        assertTrue(large.hasEnded(), "about thirty rounds of 100 ms exceed the objective of 2 s");
        Query medium = fixture.start(idempotent, 100);
        assertFalse(medium.hasEnded());
    }
}
