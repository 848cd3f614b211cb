package postbeam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static postbeam.policy.PolicyFixture.ms;

import org.junit.jupiter.api.Test;
import postbeam.model.AttemptOutcome;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.Readiness;

class ReplicaSelectorTest {
    private final PolicyFixture fixture = new PolicyFixture(3, true);
    private final QueryClass idempotent = PolicyFixture.idempotent();

    @Test
    void requestsOfOneQueryAreSentToTheSameNode() {
        fixture.start(idempotent, 3);
        assertEquals(1, fixture.sent.stream().map(attempt -> attempt.node).distinct().count());
    }

    @Test
    void drainingAndRemovedNodesGetNoRequests() {
        fixture.policy.onNodeUpdate(ms(0), fixture.nodes.get(0), Readiness.DRAINING, null);
        fixture.policy.onNodeUpdate(ms(0), fixture.nodes.get(1), Readiness.REMOVED, null);
        fixture.start(ms(10), idempotent, 6);
        assertEquals(6, fixture.sent.size());
        assertTrue(fixture.sent.stream().allMatch(attempt -> attempt.node == fixture.nodes.get(2)));
    }

    @Test
    void requestIsNotRetriedAtAnEjectedReplicaThatFailedIt() {
        fixture.start(idempotent, 1);
        for (int i = 0; i < 3; i++) {
            fixture.end(ms(1 + i), fixture.sent.get(i), AttemptOutcome.UNREACHABLE);
            fixture.policy.onBatchEnd(ms(1 + i));
        }
        assertEquals(3, fixture.sent.size(), "each replica is tried once");
        PolicyFixture twoNodes = new PolicyFixture(2, false);
        Query waiting = twoNodes.start(idempotent, 1);
        for (int i = 0; i < 2; i++) {
            twoNodes.end(ms(1 + i), twoNodes.sent.get(i), AttemptOutcome.UNREACHABLE);
            twoNodes.policy.onBatchEnd(ms(1 + i));
        }
        twoNodes.policy.onBatchEnd(ms(20));
        assertEquals(2, twoNodes.sent.size());
        assertFalse(waiting.hasEnded());
        twoNodes.policy.onBatchEnd(ms(600));
        twoNodes.policy.onProbeResult(ms(610), twoNodes.probed.get(0), true);
        twoNodes.policy.onBatchEnd(ms(610));
        assertEquals(
                3,
                twoNodes.sent.size(),
                "the request is retried at the replica that answered its probe");
    }

    @Test
    void unbatchedRequestsGoToTheReplicaWithTheFewestAttemptsInFlight() {
        PolicyFixture unbatched = new PolicyFixture(4, true, 1);
        unbatched.start(idempotent, 4);
        assertEquals(4, unbatched.sent.stream().map(attempt -> attempt.node).distinct().count());
    }
}
