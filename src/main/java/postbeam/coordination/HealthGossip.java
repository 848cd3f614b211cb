package postbeam.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a router concludes from other routers' reports on data nodes. Its own evidence goes first.
 * Reports age, and several reporters of several zones must agree; then a node is sent less. Gossip
 * never marks all replicas of a shard, and only a fraction of them at once.
 *
 * <p>Not thread-safe. Times are spans of the router's own monotonic clock.
 */
public class HealthGossip {
    /** Counted from when a report was received, with the age that it had then. */
    private static final Duration REPORT_MAX_AGE = Duration.ofSeconds(5);

    /** Own evidence up to this age goes before gossip. */
    private static final Duration LOCAL_MAX_AGE = Duration.ofSeconds(5);

    /** Attempts that a report must rest on: a single failure says little. */
    private static final int MIN_ATTEMPTS = 3;

    /** Where the fleet has as many. */
    private static final int MIN_REPORTERS = 3;

    private static final int MIN_REPORTERS_IN_SMALL_FLEET = 2;

    /** Where the fleet has as many. */
    private static final int MIN_ZONES = 2;

    /** Of a shard's replicas. */
    private static final double MAX_MARKED_FRACTION = 0.34;

    /** In which traffic to a node rises again after its mark ends. */
    private static final Duration RECOVERY_RAMP = Duration.ofSeconds(4);

    private static final double RECOVERY_RAMP_START = 0.1;

    /** Of the usual traffic, to a marked node, so that its recovery is seen. */
    private static final double MARKED_FRACTION = 0.1;

    static final int MAX_NODES = 10_000;
    static final int MAX_REPORTS_PER_NODE = 16;

    private record ReceivedReport(HealthReport report, Duration receivedAt) {
        Duration age(Duration now) {
            return now.minus(receivedAt).plus(report.age());
        }

        boolean isHealthy() {
            return report.kind() == HealthReport.Kind.HEALTHY;
        }

        /** Whether it rests on enough attempts and is not older than this. */
        boolean isUsable(Duration now, Duration maxAge) {
            return age(now).compareTo(maxAge) < 0 && report.attempts() >= MIN_ATTEMPTS;
        }
    }

    private final String self;
    private final int routers;
    private final int zones;

    /** By node and reporting router. */
    private final Map<NodeIncarnation, Map<String, ReceivedReport>> remoteReports =
            new LinkedHashMap<>();

    private final Map<NodeIncarnation, ReceivedReport> localReports = new LinkedHashMap<>();
    private final Map<String, Long> incarnations = new LinkedHashMap<>();

    /** When a node was last seen to be marked. */
    private final Map<NodeIncarnation, Duration> markedAt = new LinkedHashMap<>();

    /**
     * Starts without reports.
     *
     * @param self this router's name
     * @param routers how many the fleet has
     * @param zones how many the fleet's routers are in
     */
    public HealthGossip(String self, int routers, int zones) {
        this.self = self;
        this.routers = routers;
        this.zones = zones;
    }

    // ---- evidence

    /** Takes this router's own evidence. */
    public void recordLocal(Duration now, HealthReport report) {
        if (admitIncarnation(report.node())) {
            localReports.put(report.node(), new ReceivedReport(report, now));
        }
    }

    /** Takes another router's report; its own that comes back is ignored, as is an older one. */
    public void recordRemote(Duration now, HealthReport report) {
        if (report.router().equals(self) || !admitIncarnation(report.node())) {
            return;
        }
        Map<String, ReceivedReport> byRouter =
                remoteReports.computeIfAbsent(report.node(), node -> new TreeMap<>());
        ReceivedReport previous = byRouter.get(report.router());
        ReceivedReport next = new ReceivedReport(report, now);
        boolean accepted =
                previous == null
                        ? byRouter.size() < MAX_REPORTS_PER_NODE
                        : next.age(now).compareTo(previous.age(now)) <= 0;
        if (accepted) {
            byRouter.put(report.router(), next);
        }
    }

    /** False for an earlier incarnation than known; a later one makes the earlier forgotten. */
    private boolean admitIncarnation(NodeIncarnation node) {
        Long known = incarnations.get(node.name());
        if (known == null && incarnations.size() >= MAX_NODES) {
            return false;
        }
        if (known != null && known > node.incarnation()) {
            return false;
        }
        if (known != null && known < node.incarnation()) {
            forget(new NodeIncarnation(node.name(), known));
        }
        incarnations.put(node.name(), node.incarnation());
        return true;
    }

    /** The node is no longer listed. */
    public void removeNode(String node) {
        Long incarnation = incarnations.remove(node);
        if (incarnation != null) {
            forget(new NodeIncarnation(node, incarnation));
        }
    }

    private void forget(NodeIncarnation node) {
        remoteReports.remove(node);
        localReports.remove(node);
        markedAt.remove(node);
    }

    // ---- conclusions

    /** Whether the own evidence says so or, without any, enough recent reports do. */
    public boolean isUnhealthy(Duration now, NodeIncarnation node) {
        ReceivedReport own = localReports.get(node);
        if (own != null && own.isUsable(now, LOCAL_MAX_AGE)) {
            return !own.isHealthy();
        }
        List<ReceivedReport> counted =
                remoteReports.getOrDefault(node, Map.of()).values().stream()
                        .filter(report -> report.isUsable(now, REPORT_MAX_AGE))
                        .toList();
        List<ReceivedReport> unhealthy =
                counted.stream().filter(report -> !report.isHealthy()).toList();
        int healthy = counted.size() - unhealthy.size();
        int reportingZones =
                (int) unhealthy.stream().map(one -> one.report().zone()).distinct().count();
        return isCorroborated(unhealthy.size(), reportingZones) && unhealthy.size() > healthy;
    }

    /**
     * Whether so many reporters of so many zones are enough: routers that are cut off from a node
     * which others reach tend to be few, or of one zone.
     */
    protected boolean isCorroborated(int reporters, int reportingZones) {
        int minReporters =
                Math.max(MIN_REPORTERS_IN_SMALL_FLEET, Math.min(MIN_REPORTERS, routers - 1));
        return reporters >= minReporters && reportingZones >= Math.min(MIN_ZONES, zones);
    }

    /**
     * The fraction of its usual traffic that each of a shard's replicas is to be sent; 1 where
     * nothing is known against it. Those with the worst reports are marked first.
     */
    public Map<NodeIncarnation, Double> trafficFractions(
            Duration now, Collection<NodeIncarnation> replicas) {
        List<NodeIncarnation> unhealthy =
                new ArrayList<>(replicas.stream().filter(node -> isUnhealthy(now, node)).toList());
        unhealthy.sort(
                Comparator.comparingDouble((NodeIncarnation node) -> -severity(now, node))
                        .thenComparing(NodeIncarnation::name));
        int maxMarked =
                Math.min(
                        replicas.size() - 1,
                        Math.max(1, (int) (MAX_MARKED_FRACTION * replicas.size())));
        Map<NodeIncarnation, Double> fractions = new LinkedHashMap<>();
        for (NodeIncarnation node : replicas) {
            int rank = unhealthy.indexOf(node);
            boolean marked = rank >= 0 && rank < maxMarked;
            if (marked) {
                markedAt.put(node, now);
            }
            fractions.put(node, marked ? MARKED_FRACTION : recoveryFraction(now, node));
        }
        return fractions;
    }

    /** Rises by and by: all routers learn at once that a node is well, and would crowd it. */
    private double recoveryFraction(Duration now, NodeIncarnation node) {
        Duration lastMarkedAt = markedAt.get(node);
        if (lastMarkedAt == null) {
            return 1;
        }
        double risen = (double) now.minus(lastMarkedAt).toNanos() / RECOVERY_RAMP.toNanos();
        if (risen >= 1) {
            markedAt.remove(node);
            return 1;
        }
        return RECOVERY_RAMP_START + (1 - RECOVERY_RAMP_START) * risen;
    }

    private double severity(Duration now, NodeIncarnation node) {
        return remoteReports.getOrDefault(node, Map.of()).values().stream()
                .filter(one -> one.age(now).compareTo(REPORT_MAX_AGE) < 0 && !one.isHealthy())
                .mapToDouble(one -> Math.max(1, one.report().slowness()))
                .sum();
    }

    /** How many reports are kept. */
    public int size() {
        return localReports.size() + remoteReports.values().stream().mapToInt(Map::size).sum();
    }
}
