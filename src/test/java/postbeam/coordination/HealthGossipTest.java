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
    private static final List<NodeIncarnation> HOLDERS = List.of(N1, N2, N3);

    private final HealthGossip judgements = new HealthGossip("r0", 6, 3);

    private static Duration s(double seconds) {
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    private void report(
            double at,
            NodeIncarnation node,
            HealthReport.Kind kind,
            double age,
            String... routersAndZones) {
        for (int i = 0; i < routersAndZones.length; i += 2) {
            judgements.recordRemote(
                    s(at),
                    new HealthReport(
                            routersAndZones[i], routersAndZones[i + 1], node, kind, 1, 5, s(age)));
        }
    }

    @Test
    void oneReporterOrOneZoneMarksNoNode() {
        report(0, N1, HealthReport.Kind.UNRESPONSIVE, 0, "r1", "a", "r1", "b", "r1", "c");
        assertFalse(judgements.isUnhealthy(s(0), N1));
        report(0, N1, HealthReport.Kind.UNRESPONSIVE, 0, "r2", "b", "r3", "b", "r1", "b");
        assertFalse(judgements.isUnhealthy(s(0), N1));
        report(0, N1, HealthReport.Kind.UNRESPONSIVE, 0, "r4", "a");
        assertTrue(judgements.isUnhealthy(s(0), N1));
        assertEquals(Map.of(N1, 0.1, N2, 1.0, N3, 1.0), judgements.trafficFractions(s(0), HOLDERS));
    }

    @Test
    void asManyHealthyReportsOutweighUnhealthyOnes() {
        report(0, N1, HealthReport.Kind.FAILING, 0, "r1", "a", "r2", "b", "r3", "c");
        assertTrue(judgements.isUnhealthy(s(0), N1));
        report(1, N1, HealthReport.Kind.HEALTHY, 0, "r4", "a", "r5", "a", "r3", "c");
        assertFalse(judgements.isUnhealthy(s(1), N1));
    }

    @Test
    void recentLocalReportGoesBeforeGossip() {
        report(0, N1, HealthReport.Kind.FAILING, 0, "r1", "a", "r2", "b", "r3", "c");
        judgements.recordLocal(
                s(0), new HealthReport("r0", "a", N1, HealthReport.Kind.HEALTHY, 1, 3, s(0)));
        assertFalse(judgements.isUnhealthy(s(0), N1));
        judgements.recordLocal(
                s(0), new HealthReport("r0", "a", N2, HealthReport.Kind.FAILING, 1, 3, s(0)));
        assertTrue(judgements.isUnhealthy(s(0), N2));
        assertFalse(judgements.isUnhealthy(s(5), N2));
    }

    @Test
    void reportAgesFromItsReceiptWithTheAgeItHadThen() {
        report(0, N1, HealthReport.Kind.SLOW, 3, "r1", "a", "r2", "b", "r3", "c");
        assertTrue(judgements.isUnhealthy(s(1.9), N1));
        assertFalse(judgements.isUnhealthy(s(2), N1));
        report(2, N1, HealthReport.Kind.SLOW, 6, "r1", "a", "r2", "b", "r3", "c");
        assertFalse(judgements.isUnhealthy(s(2), N1), "older news");
    }

    @Test
    void lastReplicaIsNeverMarkedAndOnlyAFractionIs() {
        for (NodeIncarnation node : HOLDERS) {
            report(0, node, HealthReport.Kind.UNRESPONSIVE, 0, "r1", "a", "r2", "b", "r3", "c");
        }
        assertEquals(
                1,
                judgements.trafficFractions(s(0), HOLDERS).values().stream()
                        .filter(share -> share < 1)
                        .count());
        assertEquals(Map.of(N2, 1.0), judgements.trafficFractions(s(0), List.of(N2)));
    }

    @Test
    void recoveredNodeGetsItsTrafficBackInARamp() {
        report(0, N1, HealthReport.Kind.UNRESPONSIVE, 0, "r1", "a", "r2", "b", "r3", "c");
        judgements.trafficFractions(s(0), HOLDERS);
        report(1, N1, HealthReport.Kind.HEALTHY, 0, "r1", "a", "r2", "b", "r3", "c");
        assertEquals(0.325, judgements.trafficFractions(s(1), HOLDERS).get(N1), 1e-9);
        assertEquals(0.55, judgements.trafficFractions(s(2), HOLDERS).get(N1), 1e-9);
        assertEquals(1, judgements.trafficFractions(s(4), HOLDERS).get(N1));
    }

    @Test
    void newIncarnationForgetsReportsAndTheirNumberIsBounded() {
        report(0, N1, HealthReport.Kind.UNRESPONSIVE, 0, "r1", "a", "r2", "b", "r3", "c");
        report(0, new NodeIncarnation("n1", 2), HealthReport.Kind.UNRESPONSIVE, 0, "r1", "a");
        assertFalse(judgements.isUnhealthy(s(0), new NodeIncarnation("n1", 2)));
        report(0, N1, HealthReport.Kind.UNRESPONSIVE, 0, "r4", "b");
        assertEquals(1, judgements.size(), "of the earlier one nothing is believed");
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
                judgements.size());
        judgements.removeNode("m0");
        assertEquals(
                HealthGossip.MAX_REPORTS_PER_NODE * (HealthGossip.MAX_NODES - 2) + 1,
                judgements.size());
    }
}
