package postbeam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static postbeam.policy.PolicyFixture.ms;

import org.junit.jupiter.api.Test;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.model.DataNode;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.Readiness;
import postbeam.model.ShardRequest;
import postbeam.model.SideEffects;
import postbeam.model.Zone;

class OutlierDetectorTest {
    private final PolicyFixture fixture = new PolicyFixture(3, true);
    private final QueryClass idempotent = PolicyFixture.idempotent();

    @Test
    void nonIdempotentRequestIsNotSentToANodeThatHasNotRecovered() {
        PolicyFixture twoNodes = new PolicyFixture(2, true);
        twoNodes.start(idempotent, 1);
        DataNode failed = twoNodes.sent.get(0).node;
        twoNodes.end(ms(10), twoNodes.sent.get(0), AttemptOutcome.RESET);
        twoNodes.policy.onProbeResult(ms(600), failed, true);
        for (int i = 0; i < 8; i++) {
            twoNodes.sent.clear();
            twoNodes.start(ms(700 + i), PolicyFixture.queryClass(SideEffects.NON_IDEMPOTENT, 1), 1);
            Attempt attempt = twoNodes.lastSent();
            assertEquals(
                    SideEffects.NON_IDEMPOTENT,
                    attempt.shardRequest.query.queryClass().sideEffects);
            assertNotSame(failed, attempt.node);
            twoNodes.end(ms(700 + i), attempt, AttemptOutcome.SUCCESS);
        }
    }

    @Test
    void nodeWithAnOverdueAttemptIsEjectedWhenTheAttemptIsCancelled() {
        fixture.start(idempotent, 1);
        Attempt attempt = fixture.sent.get(0);
        fixture.end(ms(1200), attempt, AttemptOutcome.CANCELLED);
        assertTrue(fixture.policy.isEjected(attempt.node));
    }

    @Test
    void overloadedNodeGetsNoFurtherRequests() {
        fixture.start(idempotent, 2);
        DataNode overloaded = fixture.sent.get(0).node;
        fixture.end(ms(1), fixture.sent.get(0), AttemptOutcome.OVERLOADED);
        fixture.end(ms(1), fixture.sent.get(1), AttemptOutcome.OVERLOADED);
        fixture.start(ms(2), idempotent, 4);
        assertTrue(fixture.sent.stream().skip(2).noneMatch(attempt -> attempt.node == overloaded));
    }

    /**
     * Ends attempts at nodes of another zone, the first {@code failedCount} of which fail, and
     * starts a query while the nodes of the local zone are busy. Returns a node of the other zone
     * that has had no attempt.
     */
    private DataNode startQueryAfterAttemptsInOtherZone(int attemptCount, int failedCount) {
        Zone zone = new Zone(false);
        Query query = new Query(idempotent, null, ms(0), PolicyFixture.DEADLINE);
        for (int i = 0; i < attemptCount; i++) {
            DataNode node = new DataNode(0, zone);
            fixture.policy.onNodeUpdate(ms(0), node, Readiness.READY, null);
            ShardRequest request = new ShardRequest(query, i, 0.1, null);
            fixture.end(
                    ms(100),
                    new Attempt(request, node, ms(0), null),
                    i < failedCount ? AttemptOutcome.UNREACHABLE : AttemptOutcome.SUCCESS);
        }
        DataNode untried = new DataNode(0, zone);
        fixture.policy.onNodeUpdate(ms(0), untried, Readiness.READY, null);
        for (DataNode node : fixture.nodes) {
            new Attempt(new ShardRequest(query, 9, 0.1, null), node, ms(100), null);
        }
        fixture.start(ms(100), idempotent, 1);
        return untried;
    }

    @Test
    void zoneWithMostAttemptsFailedIsAvoidedIncludingItsUntriedNodes() {
        DataNode untried = startQueryAfterAttemptsInOtherZone(4, 4);
        assertTrue(fixture.nodes.contains(fixture.sent.get(0).node));
        assertNotSame(untried, fixture.sent.get(0).node);
    }

    @Test
    void zoneWithFewFailuresIsNotEjected() {
        startQueryAfterAttemptsInOtherZone(4, 1);
        assertFalse(fixture.nodes.contains(fixture.sent.get(0).node));
    }
}
