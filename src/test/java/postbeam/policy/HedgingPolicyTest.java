package postbeam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static postbeam.policy.PolicyFixture.ms;

import org.junit.jupiter.api.Test;
import postbeam.model.AttemptOutcome;
import postbeam.model.SideEffects;

class HedgingPolicyTest {
    private final PolicyFixture fixture = new PolicyFixture(3, true);

    @Test
    void requestIsHedgedIfOnlyTheOtherRequestOfItsBatchIsAnswered() {
        fixture.start(PolicyFixture.idempotent(), 2);
        fixture.end(ms(100), fixture.sent.get(0), AttemptOutcome.SUCCESS);
        fixture.policy.onBatchEnd(ms(1100));
        assertEquals(3, fixture.sent.size());
        assertNotSame(fixture.sent.get(1).node, fixture.sent.get(2).node);
    }

    @Test
    void lostRequestWithSideEffectsIsNotHedged() {
        for (SideEffects sideEffects :
                new SideEffects[] {SideEffects.DEDUPLICATED, SideEffects.NON_IDEMPOTENT}) {
            PolicyFixture sideEffectFixture = new PolicyFixture(3, true);
            sideEffectFixture.start(PolicyFixture.queryClass(sideEffects, 1), 2);
            sideEffectFixture.end(ms(100), sideEffectFixture.sent.get(0), AttemptOutcome.SUCCESS);
            sideEffectFixture.policy.onBatchEnd(ms(1100));
            assertEquals(2, sideEffectFixture.sent.size(), sideEffects.toString());
        }
    }

    @Test
    void subsetQueryGetsASpareRequestOnlyIfSparesAreASmallShareOfAttemptsInFlight() {
        fixture.start(PolicyFixture.queryClass(SideEffects.IDEMPOTENT, 0.5), 4);
        assertEquals(2, fixture.sent.size());
        PolicyFixture busy = new PolicyFixture(3, true);
        busy.start(PolicyFixture.idempotent(), 12);
        busy.start(PolicyFixture.queryClass(SideEffects.IDEMPOTENT, 0.5), 4);
        assertEquals(12 + 3, busy.sent.size());
    }
}
