package postbeam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static postbeam.policy.PolicyFixture.ms;

import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.model.DataNode;
import postbeam.model.QueryClass;

class OutlierEjectionTest {
    private final PolicyFixture fixture = new PolicyFixture(3, true);
    private final QueryClass idempotent = PolicyFixture.idempotent();

    @Test
    void ejectedNodeIsProbedAndReinstatedWhenTheProbeSucceeds() {
        fixture.start(idempotent, 1);
        Attempt attempt = fixture.sent.get(0);
        fixture.end(ms(1200), attempt, AttemptOutcome.CANCELLED);
        fixture.policy.onBatchEnd(ms(1800));
        assertEquals(List.of(attempt.node), fixture.probed);
        fixture.policy.onProbeResult(ms(1801), attempt.node, true);
        assertFalse(fixture.policy.isEjected(attempt.node));
    }

    @Test
    void nodeIsEjectedForTwiceAsLongWhenItsProbeFails() {
        DataNode node = fixture.nodes.get(0);
        fixture.policy.modules().ejection.eject(ms(0), node);
        fixture.policy.onBatchEnd(ms(500));
        fixture.policy.onProbeResult(ms(510), node, false);
        fixture.policy.onBatchEnd(ms(1509));
        assertEquals(List.of(node), fixture.probed);
        fixture.policy.onBatchEnd(ms(1510));
        assertEquals(List.of(node, node), fixture.probed);
        assertTrue(fixture.policy.isEjected(node));
    }

    @Test
    void requestIsSentToAnEjectedReplicaIfAllReplicasAreEjected() {
        fixture.nodes.forEach(node -> fixture.policy.modules().ejection.eject(ms(0), node));
        fixture.start(idempotent, 1);
        assertEquals(1, fixture.sent.size());
    }
}
