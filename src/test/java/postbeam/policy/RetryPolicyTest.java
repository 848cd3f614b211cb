package postbeam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static postbeam.policy.PolicyFixture.ms;

import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.model.AttemptOutcome;
import postbeam.model.Query;
import postbeam.model.SideEffects;

class RetryPolicyTest {
    private final PolicyFixture fixture = new PolicyFixture(3, true);

    @Test
    void queryIsAbortedIfANonIdempotentRequestMayHaveBeenExecuted() {
        fixture.start(PolicyFixture.queryClass(SideEffects.NON_IDEMPOTENT, 1), 1);
        fixture.end(ms(500), fixture.sent.get(0), AttemptOutcome.RESET);
        fixture.policy.onBatchEnd(ms(500));
        assertEquals(1, fixture.sent.size());
        assertEquals(List.of("aborted"), fixture.endings);
    }

    @Test
    void nonIdempotentRequestThatWasNotExecutedIsRetriedAtAnotherNode() {
        fixture.start(PolicyFixture.queryClass(SideEffects.NON_IDEMPOTENT, 1), 1);
        fixture.end(ms(5), fixture.sent.get(0), AttemptOutcome.OVERLOADED);
        fixture.policy.onBatchEnd(ms(5));
        assertEquals(2, fixture.sent.size());
        assertNotSame(fixture.sent.get(0).node, fixture.sent.get(1).node);
    }

    @Test
    void deduplicatedRequestIsNotRetriedAfterItsDeduplicationWindow() {
        Query query = fixture.start(PolicyFixture.queryClass(SideEffects.DEDUPLICATED, 1), 1);
        fixture.end(ms(2990), fixture.sent.get(0), AttemptOutcome.RESET);
        fixture.policy.onBatchEnd(ms(2990));
        assertEquals(1, fixture.sent.size());
        assertTrue(query.hasEnded());
    }

    @Test
    void retryOfADeduplicatedRequestHasASendDeadlineWithinItsDeduplicationWindow() {
        fixture.start(PolicyFixture.queryClass(SideEffects.DEDUPLICATED, 1), 1);
        assertNull(fixture.sent.get(0).sendDeadline());
        fixture.end(ms(500), fixture.sent.get(0), AttemptOutcome.RESET);
        fixture.policy.onBatchEnd(ms(500));
        assertEquals(ms(3000 - 20), fixture.sent.get(1).sendDeadline());
    }
}
