package postbeam.router;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RouterReadinessTest {
    @Test
    void routerWithFixedReplicasIsReadyOnceItKnowsDataNodes() {
        RouterReadiness readiness = new RouterReadiness(false);
        assertFalse(readiness.isReady());
        readiness.onEndpointsKnown();
        assertTrue(readiness.isReady());
    }

    @Test
    void routerWithMovingSlicesIsReadyOnceItAlsoKnowsALayout() {
        RouterReadiness readiness = new RouterReadiness(true);
        readiness.onEndpointsKnown();
        assertFalse(readiness.isReady());
        readiness.onLayoutKnown();
        assertTrue(readiness.isReady());
    }

    @Test
    void routerWithLayoutButNoDataNodesIsNotReady() {
        RouterReadiness readiness = new RouterReadiness(true);
        readiness.onLayoutKnown();
        assertFalse(readiness.isReady());
    }
}
