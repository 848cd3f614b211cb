package postbeam.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What a router makes of what others say of data nodes. Its own evidence goes first. Hearsay ages;
 * it needs several reporters of several zones; it orders holders and slows what they are sent, but
 * leaves every shard a holder that it has not marked, and marks a share of a shard's holders at
 * most.
 */
public class HealthGossip {
    /** Reports that are believed so long, by when they were heard and how old they were then. */
    private static final Duration REPORT_MAX_AGE = Duration.ofSeconds(5);

    /** Own evidence that is as young goes before any hearsay. */
    private static final Duration LOCAL_MAX_AGE = Duration.ofSeconds(5);

    /** Calls that a report must rest on: one that failed says little. */
    private static final int MIN_CALLS = 3;

    /**
     * Reporters that must say the same of a node, and zones that they must be of, where the fleet
     * has as many.
     */
    private static final int MIN_REPORTERS = 3;

    private static final int MIN_ZONES = 2;

    /** Of a shard's holders, what hearsay marks at most. */
    private static final double MAX_MARKED_FRACTION = 0.34;

    /**
     * After a mark ends: the span in which what the node is sent rises from a tenth of the usual to
     * all of it.
     */
    private static final Duration RECOVERY_RAMP = Duration.ofSeconds(4);

    private static final double RECOVERY_RAMP_START = 0.1;

    /**
     * Share of the usual that a node marked by hearsay is sent at least, so that its recovery is
     * seen.
     */
    private static final double MARKED_FRACTION = 0.1;

    /** Nodes kept, and reports of each. */
    static final int MAX_NODES = 10_000;

    static final int MAX_REPORTS_PER_NODE = 16;

    private record ReceivedReport(HealthReport report, Duration receivedAt) {
        Duration age(Duration now) {
            return now.minus(receivedAt).plus(report.age());
        }
    }

    private final String self;
    private final int routers;
    private final int zones;
    private final Map<NodeIncarnation, Map<String, ReceivedReport>> received =
            new LinkedHashMap<>();
    private final Map<NodeIncarnation, ReceivedReport> localReports = new LinkedHashMap<>();
    private final Map<String, Long> incarnations = new LinkedHashMap<>();

    /** When a node's mark was last seen to hold. */
    private final Map<NodeIncarnation, Duration> markedAt = new LinkedHashMap<>();

    /** For a fleet of so many routers in so many zones. */
    public HealthGossip(String self, int routers, int zones) {
        this.self = self;
        this.routers = routers;
        this.zones = zones;
    }

    // ---- evidence

    public void recordLocal(Duration now, HealthReport report) {
        if (admitIncarnation(report.node())) {
            localReports.put(report.node(), new ReceivedReport(report, now));
        }
    }

    /** From another router; its own is not heard from others. */
    public void received(Duration now, HealthReport report) {
        if (report.router().equals(self) || !admitIncarnation(report.node())) {
            return;
        }
        Map<String, ReceivedReport> of =
                received.computeIfAbsent(report.node(), node -> new TreeMap<>());
        ReceivedReport before = of.get(report.router());
        ReceivedReport next = new ReceivedReport(report, now);
        if (before == null
                ? of.size() < MAX_REPORTS_PER_NODE
                : next.age(now).compareTo(before.age(now)) <= 0) {
            of.put(report.router(), next);
        }
    }

    /**
     * Of an earlier incarnation nothing is believed; of a later one everything before is forgotten.
     */
    private boolean admitIncarnation(NodeIncarnation node) {
        Long incarnation = incarnations.get(node.node());
        if (incarnation == null && incarnations.size() >= MAX_NODES
                || incarnation != null && incarnation > node.incarnation()) {
            return false;
        }
        if (incarnation != null && incarnation < node.incarnation()) {
            NodeIncarnation old = new NodeIncarnation(node.node(), incarnation);
            received.remove(old);
            localReports.remove(old);
            markedAt.remove(old);
        }
        incarnations.put(node.node(), node.incarnation());
        return true;
    }

    /** The node is no longer listed. */
    public void nodeRemoved(String node) {
        Long incarnation = incarnations.remove(node);
        if (incarnation != null) {
            NodeIncarnation key = new NodeIncarnation(node, incarnation);
            received.remove(key);
            localReports.remove(key);
            markedAt.remove(key);
        }
    }

    // ---- judgement

    /** Whether enough others, of enough zones, say lately that the node is not well. */
    public boolean isUnhealthy(Duration now, NodeIncarnation node) {
        ReceivedReport mine = localReports.get(node);
        if (mine != null
                && mine.age(now).compareTo(LOCAL_MAX_AGE) < 0
                && mine.report().calls() >= MIN_CALLS) {
            return mine.report().kind() != HealthReport.Kind.HEALTHY;
        }
        Map<String, ReceivedReport> of = received.getOrDefault(node, Map.of());
        List<HealthReport> bad = new ArrayList<>();
        List<HealthReport> well = new ArrayList<>();
        for (ReceivedReport one : of.values()) {
            if (one.age(now).compareTo(REPORT_MAX_AGE) < 0 && one.report().calls() >= MIN_CALLS) {
                (one.report().kind() == HealthReport.Kind.HEALTHY ? well : bad).add(one.report());
            }
        }
        Set<String> from = new LinkedHashSet<>();
        bad.forEach(report -> from.add(report.zone()));
        return isCorroborated(bad.size(), from.size()) && bad.size() > well.size();
    }

    /**
     * Guards against routers that are cut off from a node others reach: they tend to be few, or of
     * one zone.
     */
    protected boolean isCorroborated(int reporters, int ofZones) {
        return reporters >= Math.max(2, Math.min(MIN_REPORTERS, routers - 1))
                && ofZones >= Math.min(MIN_ZONES, zones);
    }

    /**
     * The share of the usual that each of a shard's holders is to be sent, by what is heard: 1
     * where nothing is against it. At most a share of the holders is marked, never all, those with
     * the worst reports first.
     */
    public Map<NodeIncarnation, Double> trafficFractions(
            Duration now, Collection<NodeIncarnation> holders) {
        List<NodeIncarnation> bad =
                new ArrayList<>(holders.stream().filter(node -> isUnhealthy(now, node)).toList());
        bad.sort(
                Comparator.comparingDouble((NodeIncarnation node) -> -severity(now, node))
                        .thenComparing(NodeIncarnation::node));
        int most =
                Math.min(
                        holders.size() - 1,
                        Math.max(1, (int) (MAX_MARKED_FRACTION * holders.size())));
        Map<NodeIncarnation, Double> shares = new LinkedHashMap<>();
        for (NodeIncarnation node : holders) {
            boolean marked = bad.indexOf(node) >= 0 && bad.indexOf(node) < most;
            if (marked) {
                markedAt.put(node, now);
            }
            shares.put(node, marked ? MARKED_FRACTION : recoveryFraction(now, node));
        }
        return shares;
    }

    /**
     * Guards against a crowd that learns at once that a node is well: each comes back by and by.
     */
    private double recoveryFraction(Duration now, NodeIncarnation node) {
        Duration since = markedAt.get(node);
        if (since == null) {
            return 1;
        }
        double risen = (double) now.minus(since).toNanos() / RECOVERY_RAMP.toNanos();
        if (risen >= 1) {
            markedAt.remove(node);
            return 1;
        }
        return RECOVERY_RAMP_START + (1 - RECOVERY_RAMP_START) * risen;
    }

    private double severity(Duration now, NodeIncarnation node) {
        return received.getOrDefault(node, Map.of()).values().stream()
                .filter(
                        one ->
                                one.age(now).compareTo(REPORT_MAX_AGE) < 0
                                        && one.report().kind() != HealthReport.Kind.HEALTHY)
                .mapToDouble(one -> Math.max(1, one.report().slowness()))
                .sum();
    }

    /** Reports held. */
    public int size() {
        return localReports.size() + received.values().stream().mapToInt(Map::size).sum();
    }
}
