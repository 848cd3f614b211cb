package postbeam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static postbeam.policy.PolicyFixture.ms;

import org.junit.jupiter.api.Test;
import postbeam.model.DataNode;
import postbeam.model.Readiness;

class NodeMembershipTest {
    private final PolicyFixture fixture = new PolicyFixture(2, true);
    private final DataNode node = fixture.nodes.get(0);

    @Test
    void restartedNodeIsNoLongerEjected() {
        fixture.policy.modules().ejection.eject(ms(0), node);
        fixture.policy.onNodeUpdate(ms(10), node, Readiness.READY, null);
        assertTrue(fixture.policy.isEjected(node), "an update without a start time is no restart");
        fixture.policy.onNodeUpdate(ms(20), node, Readiness.READY, ms(15));
        assertFalse(fixture.policy.isEjected(node));
    }

    @Test
    void removedNodeGetsRequestsAgainOnceItIsListedAgain() {
        fixture.policy.onNodeUpdate(ms(0), fixture.nodes.get(1), Readiness.REMOVED, null);
        fixture.policy.onNodeUpdate(ms(0), node, Readiness.REMOVED, null);
        fixture.start(ms(0), PolicyFixture.idempotent(), 1);
        assertEquals(0, fixture.sent.size());
        fixture.policy.onNodeUpdate(ms(10), node, Readiness.READY, null);
        fixture.policy.onBatchEnd(ms(10));
        assertEquals(1, fixture.sent.size());
    }
}
