package postbeam.shared;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class JudgementsTest {
    private static final NodeKey N1 = new NodeKey("n1", 1);
    private static final NodeKey N2 = new NodeKey("n2", 1);
    private static final NodeKey N3 = new NodeKey("n3", 1);
    private static final List<NodeKey> HOLDERS = List.of(N1, N2, N3);

    private final Judgements judgements = new Judgements("r0", 6, 3);

    private static Duration s(double seconds) {
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    private void told(
            double at, NodeKey node, Report.Kind kind, double age, String... routersAndZones) {
        for (int i = 0; i < routersAndZones.length; i += 2) {
            judgements.heard(
                    s(at),
                    new Report(
                            routersAndZones[i], routersAndZones[i + 1], node, kind, 1, 5, s(age)));
        }
    }

    @Test
    void oneReporterOrReportersOfOneZoneCondemnNobody() {
        told(0, N1, Report.Kind.SILENT, 0, "r1", "a", "r1", "b", "r1", "c");
        assertFalse(judgements.condemned(s(0), N1));
        told(0, N1, Report.Kind.SILENT, 0, "r2", "b", "r3", "b", "r1", "b");
        assertFalse(judgements.condemned(s(0), N1));
        told(0, N1, Report.Kind.SILENT, 0, "r4", "a");
        assertTrue(judgements.condemned(s(0), N1));
        assertEquals(Map.of(N1, 0.1, N2, 1.0, N3, 1.0), judgements.shares(s(0), HOLDERS));
    }

    @Test
    void asManyWhoSayItIsWellOutweighThem() {
        told(0, N1, Report.Kind.FAILING, 0, "r1", "a", "r2", "b", "r3", "c");
        assertTrue(judgements.condemned(s(0), N1));
        told(1, N1, Report.Kind.WELL, 0, "r4", "a", "r5", "a", "r3", "c");
        assertFalse(judgements.condemned(s(1), N1));
    }

    @Test
    void ownEvidenceGoesFirstWhileItIsYoung() {
        told(0, N1, Report.Kind.FAILING, 0, "r1", "a", "r2", "b", "r3", "c");
        judgements.seen(s(0), new Report("r0", "a", N1, Report.Kind.WELL, 1, 3, s(0)));
        assertFalse(judgements.condemned(s(0), N1));
        judgements.seen(s(0), new Report("r0", "a", N2, Report.Kind.FAILING, 1, 3, s(0)));
        assertTrue(judgements.condemned(s(0), N2));
        assertFalse(judgements.condemned(s(5), N2));
    }

    @Test
    void hearsayAgesByWhenItWasHeardAndHowOldItWasThen() {
        told(0, N1, Report.Kind.SLOW, 3, "r1", "a", "r2", "b", "r3", "c");
        assertTrue(judgements.condemned(s(1.9), N1));
        assertFalse(judgements.condemned(s(2), N1));
        told(2, N1, Report.Kind.SLOW, 6, "r1", "a", "r2", "b", "r3", "c");
        assertFalse(judgements.condemned(s(2), N1), "older news");
    }

    @Test
    void theLastHolderIsNeverMarkedAndOnlyAShareOfThem() {
        for (NodeKey node : HOLDERS) {
            told(0, node, Report.Kind.SILENT, 0, "r1", "a", "r2", "b", "r3", "c");
        }
        assertEquals(
                1,
                judgements.shares(s(0), HOLDERS).values().stream()
                        .filter(share -> share < 1)
                        .count());
        assertEquals(Map.of(N2, 1.0), judgements.shares(s(0), List.of(N2)));
    }

    @Test
    void whoIsWellAgainComesBackByAndBy() {
        told(0, N1, Report.Kind.SILENT, 0, "r1", "a", "r2", "b", "r3", "c");
        judgements.shares(s(0), HOLDERS);
        told(1, N1, Report.Kind.WELL, 0, "r1", "a", "r2", "b", "r3", "c");
        assertEquals(0.325, judgements.shares(s(1), HOLDERS).get(N1), 1e-9);
        assertEquals(0.55, judgements.shares(s(2), HOLDERS).get(N1), 1e-9);
        assertEquals(1, judgements.shares(s(4), HOLDERS).get(N1));
    }

    @Test
    void anotherIncarnationBeginsWithAClearNameAndAllIsBounded() {
        told(0, N1, Report.Kind.SILENT, 0, "r1", "a", "r2", "b", "r3", "c");
        told(0, new NodeKey("n1", 2), Report.Kind.SILENT, 0, "r1", "a");
        assertFalse(judgements.condemned(s(0), new NodeKey("n1", 2)));
        told(0, N1, Report.Kind.SILENT, 0, "r4", "b");
        assertEquals(1, judgements.size(), "of the earlier one nothing is believed");
        for (int i = 0; i < 10_100; i++) {
            for (int j = 0; j < 20; j++) {
                told(0, new NodeKey("m" + i, 1), Report.Kind.SILENT, 0, "r" + (10 + j), "a");
            }
        }
        assertEquals(Judgements.REPORTS_MOST * (Judgements.NODES_MOST - 1) + 1, judgements.size());
        judgements.gone("m0");
        assertEquals(Judgements.REPORTS_MOST * (Judgements.NODES_MOST - 2) + 1, judgements.size());
    }
}
