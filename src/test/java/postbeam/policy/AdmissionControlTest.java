package postbeam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static postbeam.policy.PolicyFixture.ms;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.model.Query;
import postbeam.model.ShardRequest;
import postbeam.model.Tenant;

class AdmissionControlTest {
    @Test
    void tenantIsOverQuotaOnlyIfItsUsageRelativeToItsQuotaIsAtLeastAverage() {
        AdmissionControl admission = new AdmissionControl(100, 1, 0.1, null);
        Tenant smallQuota = new Tenant(1.0);
        Tenant largeQuota = new Tenant(9.0);
        for (int i = 0; i < 12; i++) {
            admission.recordAndCheckQuota(ms(i), largeQuota);
        }
        assertFalse(admission.recordAndCheckQuota(ms(20), smallQuota));
        for (int i = 0; i < 10; i++) {
            admission.recordAndCheckQuota(ms(21), smallQuota);
        }
        assertTrue(admission.recordAndCheckQuota(ms(30), smallQuota));
        assertFalse(admission.recordAndCheckQuota(ms(30), largeQuota));
        AdmissionControl oneOfTenRouters = new AdmissionControl(100, 10, 0.1, null);
        assertFalse(oneOfTenRouters.recordAndCheckQuota(ms(0), new Tenant(1.0)));
    }

    @Test
    void retryAfterIsSetOnceTheRouterIsNearCapacity() {
        AdmissionControl admission = new AdmissionControl(4, 1, 0.1, ms(200));
        Query query = new Query(PolicyFixture.idempotent(), null, ms(0), ms(6000));
        admission.updateLoad(List.of(query));
        assertFalse(admission.isNearCapacity());
        assertEquals(Duration.ZERO, admission.retryAfter());
        new ShardRequest(query, 0, 0.5, null);
        new ShardRequest(query, 1, 0.5, null);
        admission.updateLoad(List.of(query));
        assertTrue(admission.isNearCapacity());
        assertEquals(ms(200), admission.retryAfter());
    }
}
