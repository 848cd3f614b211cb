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
 * Judges the health of data nodes by the reports of other routers, which a router's own recent
 * evidence overrides. A node is marked, that is, gets less traffic, when several routers in several
 * zones have recently reported it as unhealthy. Gossip never marks all replicas of a shard, and
 * only a fraction of them at the same time.
 *
 * <p>Not thread-safe. Times are readings of the router's own monotonic clock.
 */
public class HealthGossip {
    /**
     * The age up to which another router's report is used: the time since its receipt plus the age
     * that it had then.
     */
    private static final Duration REPORT_MAX_AGE = Duration.ofSeconds(5);

    /** The age up to which this router's own evidence overrides gossip. */
    private static final Duration LOCAL_MAX_AGE = Duration.ofSeconds(5);

    /**
     * Minimum number of attempts that a report must be based on, as a single failure is weak
     * evidence.
     */
    private static final int MIN_ATTEMPTS = 3;

    /**
     * Number of routers that must report a node as unhealthy before it is marked, in a fleet with
     * that many other routers.
     */
    private static final int MIN_REPORTERS = 3;

    /**
     * Number of routers that must report a node as unhealthy before it is marked, in any smaller
     * fleet.
     */
    private static final int MIN_REPORTERS_IN_SMALL_FLEET = 2;

    /**
     * Number of zones that the reporting routers must be in before a node is marked, in a fleet
     * with that many zones.
     */
    private static final int MIN_ZONES = 2;

    /**
     * The largest fraction of a shard's replicas that is marked at the same time. One of several
     * replicas may be marked even if it is a larger fraction.
     */
    private static final double MAX_MARKED_FRACTION = 0.34;

    /** The time in which traffic to a node returns to normal after the node is no longer marked. */
    private static final Duration RECOVERY_RAMP = Duration.ofSeconds(4);

    /** The fraction of the usual traffic with which the recovery begins. */
    private static final double RECOVERY_RAMP_START = 0.1;

    /** The fraction of the usual traffic that a marked node gets, so that its recovery shows. */
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

        /** Whether this report is based on enough attempts and younger than this age. */
        boolean isUsable(Duration now, Duration maxAge) {
            return age(now).compareTo(maxAge) < 0 && report.attempts() >= MIN_ATTEMPTS;
        }
    }

    private final String self;
    private final int routers;
    private final int zones;

    /** The latest report of each other router, by node and router name. */
    private final Map<NodeIncarnation, Map<String, ReceivedReport>> remoteReports =
            new LinkedHashMap<>();

    private final Map<NodeIncarnation, ReceivedReport> localReports = new LinkedHashMap<>();

    /** The latest known incarnation of each node, by node name. */
    private final Map<String, Long> incarnations = new LinkedHashMap<>();

    /** When {@link #trafficFractions} last marked a node. */
    private final Map<NodeIncarnation, Duration> markedAt = new LinkedHashMap<>();

    /**
     * Creates an instance without reports.
     *
     * @param self this router's name
     * @param routers number of routers in the fleet, including this one
     * @param zones number of zones that the routers of the fleet are in
     */
    public HealthGossip(String self, int routers, int zones) {
        this.self = self;
        this.routers = routers;
        this.zones = zones;
    }

    // ---- evidence

    /** Records this router's own evidence on a node. */
    public void recordLocal(Duration now, HealthReport report) {
        if (admitIncarnation(report.node())) {
            localReports.put(report.node(), new ReceivedReport(report, now));
        }
    }

    /**
     * Records another router's report. Ignored are a report by this router that is relayed back, a
     * report older than the latest one of its router, and a report of a further router if there are
     * {@link #MAX_REPORTS_PER_NODE} on the node.
     */
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

    /**
     * Returns false for an incarnation earlier than the known one, and for a new node if too many
     * nodes are known. A later incarnation removes all reports on the earlier one.
     */
    private boolean admitIncarnation(NodeIncarnation node) {
        Long known = incarnations.get(node.name());
        if (known == null && incarnations.size() >= MAX_NODES) {
            return false;
        }
        if (known != null && known > node.incarnation()) {
            return false;
        }
        if (known != null && known < node.incarnation()) {
            removeReports(new NodeIncarnation(node.name(), known));
        }
        incarnations.put(node.name(), node.incarnation());
        return true;
    }

    /** Removes a node that is no longer in the endpoint list. */
    public void removeNode(String node) {
        Long incarnation = incarnations.remove(node);
        if (incarnation != null) {
            removeReports(new NodeIncarnation(node, incarnation));
        }
    }

    private void removeReports(NodeIncarnation node) {
        remoteReports.remove(node);
        localReports.remove(node);
        markedAt.remove(node);
    }

    // ---- conclusions

    /**
     * Whether this router's own recent evidence says that the node is unhealthy or, if there is
     * none, whether enough recent reports say so and fewer say that it is healthy.
     */
    public boolean isUnhealthy(Duration now, NodeIncarnation node) {
        ReceivedReport own = localReports.get(node);
        if (own != null && own.isUsable(now, LOCAL_MAX_AGE)) {
            return !own.isHealthy();
        }
        List<ReceivedReport> usableReports =
                remoteReports.getOrDefault(node, Map.of()).values().stream()
                        .filter(report -> report.isUsable(now, REPORT_MAX_AGE))
                        .toList();
        List<ReceivedReport> unhealthy =
                usableReports.stream().filter(report -> !report.isHealthy()).toList();
        int healthyCount = usableReports.size() - unhealthy.size();
        int reportingZones =
                (int)
                        unhealthy.stream()
                                .map(received -> received.report().zone())
                                .distinct()
                                .count();
        return isCorroborated(unhealthy.size(), reportingZones) && unhealthy.size() > healthyCount;
    }

    /**
     * Whether reports of this many routers in this many zones suffice to mark a node. Routers that
     * are cut off from a node which other routers can reach are usually few, or all in one zone.
     */
    protected boolean isCorroborated(int reporters, int reportingZones) {
        int minReporters =
                Math.max(MIN_REPORTERS_IN_SMALL_FLEET, Math.min(MIN_REPORTERS, routers - 1));
        return reporters >= minReporters && reportingZones >= Math.min(MIN_ZONES, zones);
    }

    /**
     * The fraction of its usual traffic that each of a shard's replicas is to get; 1 for a replica
     * that is neither marked nor recovering. Replicas with the worst reports are marked first.
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

    /**
     * The traffic of a node that is no longer marked rises gradually: all routers learn of its
     * recovery at about the same time and would overload it together.
     */
    private double recoveryFraction(Duration now, NodeIncarnation node) {
        Duration lastMarkedAt = markedAt.get(node);
        if (lastMarkedAt == null) {
            return 1;
        }
        double progress = (double) now.minus(lastMarkedAt).toNanos() / RECOVERY_RAMP.toNanos();
        if (progress >= 1) {
            markedAt.remove(node);
            return 1;
        }
        return RECOVERY_RAMP_START + (1 - RECOVERY_RAMP_START) * progress;
    }

    /** The sum of the slowness in recent unhealthy reports, each of which counts at least 1. */
    private double severity(Duration now, NodeIncarnation node) {
        return remoteReports.getOrDefault(node, Map.of()).values().stream()
                .filter(
                        received ->
                                received.age(now).compareTo(REPORT_MAX_AGE) < 0
                                        && !received.isHealthy())
                .mapToDouble(received -> Math.max(1, received.report().slowness()))
                .sum();
    }

    /** Number of stored reports, including those of this router. */
    public int size() {
        return localReports.size() + remoteReports.values().stream().mapToInt(Map::size).sum();
    }
}
