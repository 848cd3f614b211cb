package postbeam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static postbeam.policy.PolicyFixture.ms;

import org.junit.jupiter.api.Test;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.ShardRequest;

class QueryPriorityTest {
    private final PolicyFixture fixture = new PolicyFixture(3, true);
    private final QueryClass idempotent = PolicyFixture.idempotent();

    @Test
    void queryOverQuotaStartsOnlyIfTheWindowHasSpareCapacity() {
        fixture.start(idempotent, 20);
        Query overQuota = new Query(idempotent, null, ms(0), PolicyFixture.DEADLINE);
        overQuota.markOverQuota();
        fixture.policy.onQuery(ms(0), overQuota);
        new ShardRequest(overQuota, 0, 1, null);
        fixture.policy.onBatchEnd(ms(0));
        assertEquals(0, overQuota.requestsInFlight());
        Query other = fixture.start(idempotent, 1);
        assertEquals(1, other.requestsInFlight());
    }
}
