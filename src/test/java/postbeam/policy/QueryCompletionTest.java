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
    void subsetQueryCompletesOnItsFirstAnswersAndCancelsTheRest() {
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
    void finalAnswerComesBeforeClientDeadline() {
        fixture.start(idempotent, 1);
        fixture.policy.onBatchEnd(PolicyFixture.DEADLINE.minus(ms(30)));
        assertEquals(List.of("rejected"), fixture.endings);
    }

    @Test
    void queryNotStartedInTimeIsRejectedEarly() {
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
    void queryWithoutUsableNodeIsRejectedSoonest() {
        fixture.nodes.forEach(
                node -> fixture.policy.onNodeUpdate(ms(0), node, Readiness.DRAINING, null));
        fixture.arrive(ms(0), idempotent, 1);
        fixture.policy.onBatchEnd(ms(150));
        assertEquals(List.of(), fixture.endings);
        fixture.policy.onBatchEnd(ms(250));
        assertEquals(List.of("rejected"), fixture.endings);
    }

    @Test
    void lateQueryWithAllRequestsInFlightIsKept() {
        Query query = fixture.start(idempotent, 2);
        fixture.policy.onBatchEnd(PolicyFixture.OBJECTIVE.plus(ms(100)));
        assertFalse(query.hasEnded());
    }

    @Test
    void partialAnswerComesBeforeLatencyObjectivePasses() {
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
    void secondStepNeedsAllRequestsAndIsRejectedOnlyWhereNothingMayHaveExecuted() {
        for (SideEffects sideEffects :
                List.of(SideEffects.IDEMPOTENT, SideEffects.NON_IDEMPOTENT)) {
            PolicyFixture two = new PolicyFixture(3, true);
            QueryClass twoSteps =
                    PolicyFixture.queryClass(sideEffects, 0.5).toBuilder()
                            .secondStep(PolicyFixture.queryClass(sideEffects, 1))
                            .build();
            Query query = two.start(twoSteps, 4);
            for (int i = 0; i < 2; i++) {
                two.end(ms(50), two.sent.get(i), AttemptOutcome.SUCCESS);
            }
            two.policy.onBatchEnd(ms(50));
            assertEquals(List.of("complete"), two.endings, "any two of four complete the first");
            assertFalse(query.hasEnded());
            two.policy.onBatchEnd(ms(70));
            int before = two.sent.size();
            for (int i = 0; i < 2; i++) {
                two.policy.onShardRequest(ms(70), new ShardRequest(query, i, 0.5, null));
            }
            two.policy.onBatchEnd(ms(70));
            assertEquals(2, two.sent.size() - before);
            two.end(ms(90), two.sent.get(before), AttemptOutcome.SUCCESS);
            two.policy.onBatchEnd(ms(90));
            assertEquals(1, two.endings.size(), "half of the second is not enough");
            two.policy.onBatchEnd(PolicyFixture.DEADLINE.minus(ms(30)));
            assertEquals(
                    sideEffects == SideEffects.IDEMPOTENT ? "rejected" : "aborted",
                    two.endings.get(1));
        }
    }
}
