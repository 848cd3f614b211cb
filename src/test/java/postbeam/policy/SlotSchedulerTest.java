package postbeam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static postbeam.policy.PolicyFixture.ms;

import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.model.AttemptOutcome;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.SideEffects;

class SlotSchedulerTest {
    private final PolicyFixture fixture = new PolicyFixture(3, true);
    private final QueryClass idempotent = PolicyFixture.idempotent();

    @Test
    void freeSlotsGoToTheQueryWithTheFewestMissingAnswers() {
        fixture.arrive(ms(0), idempotent, 5);
        Query small = fixture.start(idempotent, 2);
        assertEquals(
                List.of(small, small),
                fixture.sent.subList(0, 2).stream()
                        .map(attempt -> attempt.shardRequest.query)
                        .toList());
    }

    @Test
    void lostAttemptsDoNotOccupySlots() {
        for (int i = 0; i < 4; i++) {
            fixture.arrive(ms(0), idempotent, 8);
        }
        fixture.policy.onBatchEnd(ms(0));
        assertEquals(32, fixture.sent.size());
        fixture.nodes.forEach(node -> fixture.policy.modules().ejection.eject(ms(0), node));
        Query query = fixture.start(ms(10), idempotent, 1);
        assertEquals(1, query.shardRequests.get(0).attemptsInFlight.size());
    }

    @Test
    void queryThatMayBePartialIsSentToTheFastestNodesFirst() {
        PolicyFixture sixCells = new PolicyFixture(6, true, 1, 6);
        QueryClass partial =
                QueryClass.builder(PolicyFixture.OBJECTIVE, SideEffects.IDEMPOTENT)
                        .weights(1, 0.5)
                        .partialUtility(0.8)
                        .build();
        sixCells.policy.modules().latencies.setBaseline(partial, ms(100));
        sixCells.start(partial, 6);
        for (int i = 0; i < 6; i++) {
            sixCells.end(ms(i < 3 ? 900 : 100), sixCells.sent.get(i), AttemptOutcome.SUCCESS);
        }
        sixCells.start(ms(900), partial, 6);
        assertEquals(
                sixCells.nodes.subList(3, 6),
                sixCells.sent.subList(6, 9).stream().map(attempt -> attempt.node).toList());
    }
}
