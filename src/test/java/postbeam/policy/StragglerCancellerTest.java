package postbeam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static postbeam.policy.PolicyFixture.ms;

import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.model.AttemptOutcome;
import postbeam.model.QueryClass;

class StragglerCancellerTest {
    @Test
    void stragglerIsCancelledAndRetriedAtAnotherNodeIfHedgingIsNotAllowed() {
        PolicyFixture fixture = new PolicyFixture(3, false);
        fixture.start(PolicyFixture.idempotent(), 1);
        fixture.policy.onBatchEnd(ms(1500));
        assertEquals(1, fixture.sent.size());
        assertEquals(1, fixture.cancelled.size());
        fixture.end(ms(1505), fixture.sent.get(0), AttemptOutcome.CANCELLED);
        fixture.policy.onBatchEnd(ms(1505));
        assertNotSame(fixture.sent.get(0).node, fixture.sent.get(1).node);
    }

    @Test
    void stragglerIsNotCancelledIfASecondExecutionWouldBeLate() {
        for (boolean hedgingAllowed : List.of(true, false)) {
            PolicyFixture fixture = new PolicyFixture(3, hedgingAllowed);
            QueryClass idempotent = PolicyFixture.idempotent();
            fixture.start(idempotent, 1);
            fixture.policy.modules().latencies.setBaseline(idempotent, ms(600));
            fixture.policy.onBatchEnd(ms(1300));
            assertEquals(hedgingAllowed ? 2 : 1, fixture.sent.size());
            assertEquals(0, fixture.cancelled.size());
        }
    }
}
