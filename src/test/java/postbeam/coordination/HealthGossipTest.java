package postbeam.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class HealthGossipTest {
    private static final NodeIncarnation N1 = new NodeIncarnation("n1", 1);
    private static final NodeIncarnation N2 = new NodeIncarnation("n2", 1);
    private static final NodeIncarnation N3 = new NodeIncarnation("n3", 1);
    private static final List<NodeIncarnation> REPLICAS = List.of(N1, N2, N3);

    private final HealthGossip gossip = new HealthGossip("r0", 6, 3);

    private static Duration seconds(double amount) {
        return Duration.ofNanos((long) (amount * 1e9));
    }

    private void report(
            double at,
            NodeIncarnation node,
            HealthReport.Kind kind,
            double age,
            String... routersAndZones) {
        for (int i = 0; i < routersAndZones.length; i += 2) {
            gossip.recordRemote(
                    seconds(at),
                    new HealthReport(
                            routersAndZones[i],
                            routersAndZones[i + 1],
                            node,
                            kind,
                            1,
                            5,
                            seconds(age)));
        }
    }

    @Test
    void reportsOfOneRouterOrOneZoneMarkNoNodeUnhealthy() {
        report(0, N1, HealthReport.Kind.UNRESPONSIVE, 0, "r1", "a", "r1", "b", "r1", "c");
        assertFalse(gossip.isUnhealthy(seconds(0), N1));
        report(0, N1, HealthReport.Kind.UNRESPONSIVE, 0, "r2", "b", "r3", "b", "r1", "b");
        assertFalse(gossip.isUnhealthy(seconds(0), N1));
        report(0, N1, HealthReport.Kind.UNRESPONSIVE, 0, "r4", "a");
        assertTrue(gossip.isUnhealthy(seconds(0), N1));
        assertEquals(
                Map.of(N1, 0.1, N2, 1.0, N3, 1.0), gossip.trafficFractions(seconds(0), REPLICAS));
    }

    @Test
    void nodeWithoutAMajorityOfUnhealthyReportsIsHealthy() {
        report(0, N1, HealthReport.Kind.FAILING, 0, "r1", "a", "r2", "b", "r3", "c");
        assertTrue(gossip.isUnhealthy(seconds(0), N1));
        report(1, N1, HealthReport.Kind.HEALTHY, 0, "r4", "a", "r5", "a", "r3", "c");
        assertFalse(gossip.isUnhealthy(seconds(1), N1));
    }

    @Test
    void recentLocalReportOverridesGossip() {
        report(0, N1, HealthReport.Kind.FAILING, 0, "r1", "a", "r2", "b", "r3", "c");
        gossip.recordLocal(
                seconds(0),
                new HealthReport("r0", "a", N1, HealthReport.Kind.HEALTHY, 1, 3, seconds(0)));
        assertFalse(gossip.isUnhealthy(seconds(0), N1));
        gossip.recordLocal(
                seconds(0),
                new HealthReport("r0", "a", N2, HealthReport.Kind.FAILING, 1, 3, seconds(0)));
        assertTrue(gossip.isUnhealthy(seconds(0), N2));
        assertFalse(gossip.isUnhealthy(seconds(5), N2));
    }

    @Test
    void ageOfAReportIsItsAgeAtReceiptPlusTheTimeSince() {
        report(0, N1, HealthReport.Kind.SLOW, 3, "r1", "a", "r2", "b", "r3", "c");
        assertTrue(gossip.isUnhealthy(seconds(1.9), N1));
        assertFalse(gossip.isUnhealthy(seconds(2), N1));
        report(2, N1, HealthReport.Kind.SLOW, 6, "r1", "a", "r2", "b", "r3", "c");
        assertFalse(
                gossip.isUnhealthy(seconds(2), N1), "a report older than the known one is ignored");
    }

    @Test
    void onlyAFractionOfReplicasIsMarkedUnhealthyAndNeverTheOnlyReplica() {
        for (NodeIncarnation node : REPLICAS) {
            report(0, node, HealthReport.Kind.UNRESPONSIVE, 0, "r1", "a", "r2", "b", "r3", "c");
        }
        assertEquals(
                1,
                gossip.trafficFractions(seconds(0), REPLICAS).values().stream()
                        .filter(fraction -> fraction < 1)
                        .count());
        assertEquals(Map.of(N2, 1.0), gossip.trafficFractions(seconds(0), List.of(N2)));
    }

    @Test
    void trafficToARecoveredNodeRisesLinearly() {
        report(0, N1, HealthReport.Kind.UNRESPONSIVE, 0, "r1", "a", "r2", "b", "r3", "c");
        gossip.trafficFractions(seconds(0), REPLICAS);
        report(1, N1, HealthReport.Kind.HEALTHY, 0, "r1", "a", "r2", "b", "r3", "c");
        assertEquals(0.325, gossip.trafficFractions(seconds(1), REPLICAS).get(N1), 1e-9);
        assertEquals(0.55, gossip.trafficFractions(seconds(2), REPLICAS).get(N1), 1e-9);
        assertEquals(1, gossip.trafficFractions(seconds(4), REPLICAS).get(N1));
    }

    @Test
    void newIncarnationRemovesEarlierReportsAndTheNumberOfReportsIsBounded() {
        report(0, N1, HealthReport.Kind.UNRESPONSIVE, 0, "r1", "a", "r2", "b", "r3", "c");
        report(0, new NodeIncarnation("n1", 2), HealthReport.Kind.UNRESPONSIVE, 0, "r1", "a");
        assertFalse(gossip.isUnhealthy(seconds(0), new NodeIncarnation("n1", 2)));
        report(0, N1, HealthReport.Kind.UNRESPONSIVE, 0, "r4", "b");
        assertEquals(1, gossip.size(), "reports on the earlier incarnation are ignored");
        for (int i = 0; i < 10_100; i++) {
            for (int j = 0; j < 20; j++) {
                report(
                        0,
                        new NodeIncarnation("m" + i, 1),
                        HealthReport.Kind.UNRESPONSIVE,
                        0,
                        "r" + (10 + j),
                        "a");
            }
        }
        assertEquals(
                HealthGossip.MAX_REPORTS_PER_NODE * (HealthGossip.MAX_NODES - 1) + 1,
                gossip.size());
        gossip.removeNode("m0");
        assertEquals(
                HealthGossip.MAX_REPORTS_PER_NODE * (HealthGossip.MAX_NODES - 2) + 1,
                gossip.size());
    }
}
