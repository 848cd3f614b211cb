package postbeam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static postbeam.policy.PolicyFixture.ms;

import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.Readiness;
import postbeam.model.ShardRequest;
import postbeam.model.SideEffects;

class QueryCompletionTest {
    private final PolicyFixture fixture = new PolicyFixture(3, true);
    private final QueryClass idempotent = PolicyFixture.idempotent();

    @Test
    void subsetQueryIsCompleteWithEnoughAnswersAndCancelsItsOtherAttempts() {
        fixture.start(idempotent, 12);
        fixture.start(PolicyFixture.queryClass(SideEffects.IDEMPOTENT, 0.5), 4);
        List<Attempt> attempts =
                fixture.sent.stream()
                        .filter(sent -> sent.shardRequest.query.queryClass().acceptsSubset())
                        .toList();
        assertEquals(3, attempts.size());
        fixture.end(ms(100), attempts.get(0), AttemptOutcome.SUCCESS);
        fixture.end(ms(100), attempts.get(1), AttemptOutcome.SUCCESS);
        fixture.policy.onBatchEnd(ms(100));
        assertEquals(List.of("complete"), fixture.endings);
        assertEquals(List.of(attempts.get(2)), fixture.cancelled);
    }

    @Test
    void queryIsRejectedShortlyBeforeTheClientDeadline() {
        fixture.start(idempotent, 1);
        fixture.policy.onBatchEnd(PolicyFixture.DEADLINE.minus(ms(30)));
        assertEquals(List.of("rejected"), fixture.endings);
    }

    @Test
    void queryThatHasNotStartedInTimeIsRejectedBeforeItsObjective() {
        for (int i = 0; i < 4; i++) {
            fixture.arrive(ms(0), idempotent, 8);
        }
        fixture.policy.onBatchEnd(ms(0));
        Query waiting = fixture.arrive(ms(0), idempotent, 8);
        fixture.policy.onBatchEnd(ms(250));
        assertFalse(waiting.hasEnded());
        fixture.policy.onBatchEnd(ms(850));
        assertTrue(waiting.hasEnded());
        assertEquals(List.of("rejected"), fixture.endings);
    }

    @Test
    void queryWithoutAUsableNodeIsRejectedAtATenthOfItsLatencyObjective() {
        fixture.nodes.forEach(
                node -> fixture.policy.onNodeUpdate(ms(0), node, Readiness.DRAINING, null));
        fixture.arrive(ms(0), idempotent, 1);
        fixture.policy.onBatchEnd(ms(150));
        assertEquals(List.of(), fixture.endings);
        fixture.policy.onBatchEnd(ms(250));
        assertEquals(List.of("rejected"), fixture.endings);
    }

    @Test
    void lateQueryWithAllRequestsInFlightIsNotEnded() {
        Query query = fixture.start(idempotent, 2);
        fixture.policy.onBatchEnd(PolicyFixture.OBJECTIVE.plus(ms(100)));
        assertFalse(query.hasEnded());
    }

    @Test
    void partialAnswerIsSentShortlyBeforeTheLatencyObjective() {
        QueryClass partial =
                QueryClass.builder(PolicyFixture.OBJECTIVE, SideEffects.IDEMPOTENT)
                        .utility(1, 0.1)
                        .weights(1, 0.5)
                        .partialUtility(0.9)
                        .build();
        fixture.start(partial, 2);
        fixture.end(ms(100), fixture.sent.get(0), AttemptOutcome.SUCCESS);
        fixture.policy.onBatchEnd(ms(1900));
        assertEquals(List.of(), fixture.endings);
        fixture.policy.onBatchEnd(ms(1960));
        assertEquals(List.of("partial"), fixture.endings);
    }

    @Test
    void secondStepNeedsAllRequestsAndIsRejectedOnlyIfARetryIsHarmless() {
        for (SideEffects sideEffects :
                List.of(SideEffects.IDEMPOTENT, SideEffects.NON_IDEMPOTENT)) {
            PolicyFixture fixtureOfClass = new PolicyFixture(3, true);
            QueryClass twoSteps =
                    PolicyFixture.queryClass(sideEffects, 0.5).toBuilder()
                            .secondStep(PolicyFixture.queryClass(sideEffects, 1))
                            .build();
            Query query = fixtureOfClass.start(twoSteps, 4);
            for (int i = 0; i < 2; i++) {
                fixtureOfClass.end(ms(50), fixtureOfClass.sent.get(i), AttemptOutcome.SUCCESS);
            }
            fixtureOfClass.policy.onBatchEnd(ms(50));
            assertEquals(
                    List.of("complete"),
                    fixtureOfClass.endings,
                    "two of four answers complete the first step");
            assertFalse(query.hasEnded());
            fixtureOfClass.policy.onBatchEnd(ms(70));
            int sentInFirstStep = fixtureOfClass.sent.size();
            for (int i = 0; i < 2; i++) {
                fixtureOfClass.policy.onShardRequest(ms(70), new ShardRequest(query, i, 0.5, null));
            }
            fixtureOfClass.policy.onBatchEnd(ms(70));
            assertEquals(2, fixtureOfClass.sent.size() - sentInFirstStep);
            fixtureOfClass.end(
                    ms(90), fixtureOfClass.sent.get(sentInFirstStep), AttemptOutcome.SUCCESS);
            fixtureOfClass.policy.onBatchEnd(ms(90));
            assertEquals(
                    1,
                    fixtureOfClass.endings.size(),
                    "half of the second step is not a complete answer");
            fixtureOfClass.policy.onBatchEnd(PolicyFixture.DEADLINE.minus(ms(30)));
            assertEquals(
                    sideEffects == SideEffects.IDEMPOTENT ? "rejected" : "aborted",
                    fixtureOfClass.endings.get(1));
        }
    }
}
