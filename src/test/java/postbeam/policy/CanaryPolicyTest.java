package postbeam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static postbeam.policy.PolicyFixture.ms;

import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.model.AttemptOutcome;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.Readiness;

class CanaryPolicyTest {
    private final PolicyFixture fixture = new PolicyFixture(3, true);
    private final QueryClass idempotent = PolicyFixture.idempotent();

    /**
     * Returns a policy that has just learned from the endpoint list that the last two of its ready
     * nodes were removed.
     */
    private static PolicyFixture withCrashes(int nodeCount) {
        PolicyFixture fixture = new PolicyFixture(nodeCount, true);
        for (int i = nodeCount - 2; i < nodeCount; i++) {
            fixture.policy.onNodeUpdate(ms(0), fixture.nodes.get(i), Readiness.REMOVED, null);
        }
        return fixture;
    }

    @Test
    void whileNodesCrashOneRequestIsSentAsCanaryUntilItIsAnswered() {
        PolicyFixture crashingNodes = withCrashes(6);
        crashingNodes.start(idempotent, 4);
        assertEquals(1, crashingNodes.sent.size());
        crashingNodes.end(ms(100), crashingNodes.sent.get(0), AttemptOutcome.SUCCESS);
        crashingNodes.policy.onBatchEnd(ms(100));
        assertEquals(4, crashingNodes.sent.size());
        Query later = crashingNodes.start(ms(11_000), idempotent, 4);
        assertEquals(4, later.requestsInFlight(), "crashes expire after their window");
    }

    @Test
    void queryIsRejectedAfterAResetOfItsCanaryButNotAfterAResetOfAnOrdinaryAttempt() {
        PolicyFixture crashingNodes = withCrashes(8);
        Query query = crashingNodes.start(idempotent, 4);
        crashingNodes.end(ms(50), crashingNodes.sent.get(0), AttemptOutcome.RESET);
        crashingNodes.policy.onBatchEnd(ms(50));
        assertTrue(query.hasEnded());
        assertEquals(List.of("rejected"), crashingNodes.endings);
        Query single = fixture.start(idempotent, 1);
        fixture.end(ms(50), fixture.sent.get(0), AttemptOutcome.RESET);
        fixture.policy.onBatchEnd(ms(50));
        assertEquals(2, fixture.sent.size());
        fixture.end(ms(100), fixture.sent.get(1), AttemptOutcome.RESET);
        fixture.policy.onBatchEnd(ms(100));
        assertTrue(single.hasEnded());
    }

    @Test
    void removalOfADrainingNodeIsNotCountedAsACrash() {
        for (int i = 1; i < 3; i++) {
            fixture.policy.onNodeUpdate(ms(0), fixture.nodes.get(i), Readiness.DRAINING, null);
            fixture.policy.onNodeUpdate(ms(0), fixture.nodes.get(i), Readiness.REMOVED, null);
        }
        fixture.start(idempotent, 4);
        assertEquals(4, fixture.sent.size());
    }
}
