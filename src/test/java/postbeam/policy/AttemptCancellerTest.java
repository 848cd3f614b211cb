package postbeam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static postbeam.policy.PolicyFixture.ms;

import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.model.Attempt;
import postbeam.model.Query;
import postbeam.model.ShardRequest;

class AttemptCancellerTest {
    private final PolicyFixture fixture = new PolicyFixture(1, true);
    private final ShardRequest request =
            new ShardRequest(
                    new Query(PolicyFixture.idempotent(), null, ms(0), ms(6000)), 0, 1, null);
    private final Attempt attempt = new Attempt(request, fixture.nodes.get(0), ms(0), null);

    @Test
    void attemptIsCancelledOnceByRepeatedCalls() {
        AttemptCanceller canceller =
                new AttemptCanceller(fixture, new AttemptLimits(3, true, true, true, 1));
        canceller.cancelAttempts(request);
        canceller.cancelAttempts(request);
        assertEquals(List.of(attempt), fixture.cancelled);
    }

    @Test
    void noAttemptIsCancelledIfCancellationIsNotAllowed() {
        AttemptCanceller canceller =
                new AttemptCanceller(fixture, new AttemptLimits(3, true, false, true, 1));
        canceller.cancelAttempts(request);
        assertEquals(List.of(), fixture.cancelled);
    }
}
