package postbeam.shared;

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
public class Judgements {
    /** Reports that are believed so long, by when they were heard and how old they were then. */
    private static final Duration HEARSAY_AGE = Duration.ofSeconds(5);

    /** Own evidence that is as young goes before any hearsay. */
    private static final Duration OWN_AGE = Duration.ofSeconds(5);

    /** Calls that a report must rest on: one that failed says little. */
    private static final int CALLS_LEAST = 3;

    /**
     * Reporters that must say the same of a node, and zones that they must be of, where the fleet
     * has as many.
     */
    private static final int REPORTERS_LEAST = 3;

    private static final int ZONES_LEAST = 2;

    /** Of a shard's holders, what hearsay marks at most. */
    private static final double MARKED_MOST = 0.34;

    /**
     * After a mark ends: the span in which what the node is sent rises from a tenth of the usual to
     * all of it.
     */
    private static final Duration RETURN = Duration.ofSeconds(4);

    private static final double RETURN_FROM = 0.1;

    /**
     * Share of the usual that a node marked by hearsay is sent at least, so that its recovery is
     * seen.
     */
    private static final double MARKED_SHARE = 0.1;

    /** Nodes kept, and reports of each. */
    static final int NODES_MOST = 10_000;

    static final int REPORTS_MOST = 16;

    private record Heard(Report report, Duration at) {
        Duration age(Duration now) {
            return now.minus(at).plus(report.age());
        }
    }

    private final String self;
    private final int routers;
    private final int zones;
    private final Map<NodeKey, Map<String, Heard>> heard = new LinkedHashMap<>();
    private final Map<NodeKey, Heard> own = new LinkedHashMap<>();
    private final Map<String, Long> incarnations = new LinkedHashMap<>();

    /** When a node's mark was last seen to hold. */
    private final Map<NodeKey, Duration> markedAt = new LinkedHashMap<>();

    /** For a fleet of so many routers in so many zones. */
    public Judgements(String self, int routers, int zones) {
        this.self = self;
        this.routers = routers;
        this.zones = zones;
    }

    // ---- evidence

    public void seen(Duration now, Report report) {
        if (known(report.node())) {
            own.put(report.node(), new Heard(report, now));
        }
    }

    /** From another router; its own is not heard from others. */
    public void heard(Duration now, Report report) {
        if (report.router().equals(self) || !known(report.node())) {
            return;
        }
        Map<String, Heard> of = heard.computeIfAbsent(report.node(), node -> new TreeMap<>());
        Heard before = of.get(report.router());
        Heard next = new Heard(report, now);
        if (before == null
                ? of.size() < REPORTS_MOST
                : next.age(now).compareTo(before.age(now)) <= 0) {
            of.put(report.router(), next);
        }
    }

    /**
     * Of an earlier incarnation nothing is believed; of a later one everything before is forgotten.
     */
    private boolean known(NodeKey node) {
        Long incarnation = incarnations.get(node.node());
        if (incarnation == null && incarnations.size() >= NODES_MOST
                || incarnation != null && incarnation > node.incarnation()) {
            return false;
        }
        if (incarnation != null && incarnation < node.incarnation()) {
            NodeKey old = new NodeKey(node.node(), incarnation);
            heard.remove(old);
            own.remove(old);
            markedAt.remove(old);
        }
        incarnations.put(node.node(), node.incarnation());
        return true;
    }

    /** The node is no longer listed. */
    public void gone(String node) {
        Long incarnation = incarnations.remove(node);
        if (incarnation != null) {
            NodeKey key = new NodeKey(node, incarnation);
            heard.remove(key);
            own.remove(key);
            markedAt.remove(key);
        }
    }

    // ---- judgement

    /** Whether enough others, of enough zones, say lately that the node is not well. */
    public boolean condemned(Duration now, NodeKey node) {
        Heard mine = own.get(node);
        if (mine != null
                && mine.age(now).compareTo(OWN_AGE) < 0
                && mine.report().calls() >= CALLS_LEAST) {
            return mine.report().kind() != Report.Kind.WELL;
        }
        Map<String, Heard> of = heard.getOrDefault(node, Map.of());
        List<Report> bad = new ArrayList<>();
        List<Report> well = new ArrayList<>();
        for (Heard one : of.values()) {
            if (one.age(now).compareTo(HEARSAY_AGE) < 0 && one.report().calls() >= CALLS_LEAST) {
                (one.report().kind() == Report.Kind.WELL ? well : bad).add(one.report());
            }
        }
        Set<String> from = new LinkedHashSet<>();
        bad.forEach(report -> from.add(report.zone()));
        return enough(bad.size(), from.size()) && bad.size() > well.size();
    }

    /**
     * Guards against routers that are cut off from a node others reach: they tend to be few, or of
     * one zone.
     */
    protected boolean enough(int reporters, int ofZones) {
        return reporters >= Math.max(2, Math.min(REPORTERS_LEAST, routers - 1))
                && ofZones >= Math.min(ZONES_LEAST, zones);
    }

    /**
     * The share of the usual that each of a shard's holders is to be sent, by what is heard: 1
     * where nothing is against it. At most a share of the holders is marked, never all, those with
     * the worst reports first.
     */
    public Map<NodeKey, Double> shares(Duration now, Collection<NodeKey> holders) {
        List<NodeKey> bad =
                new ArrayList<>(holders.stream().filter(node -> condemned(now, node)).toList());
        bad.sort(
                Comparator.comparingDouble((NodeKey node) -> -weight(now, node))
                        .thenComparing(NodeKey::node));
        int most = Math.min(holders.size() - 1, Math.max(1, (int) (MARKED_MOST * holders.size())));
        Map<NodeKey, Double> shares = new LinkedHashMap<>();
        for (NodeKey node : holders) {
            boolean marked = bad.indexOf(node) >= 0 && bad.indexOf(node) < most;
            if (marked) {
                markedAt.put(node, now);
            }
            shares.put(node, marked ? MARKED_SHARE : returned(now, node));
        }
        return shares;
    }

    /**
     * Guards against a crowd that learns at once that a node is well: each comes back by and by.
     */
    private double returned(Duration now, NodeKey node) {
        Duration since = markedAt.get(node);
        if (since == null) {
            return 1;
        }
        double risen = (double) now.minus(since).toNanos() / RETURN.toNanos();
        if (risen >= 1) {
            markedAt.remove(node);
            return 1;
        }
        return RETURN_FROM + (1 - RETURN_FROM) * risen;
    }

    private double weight(Duration now, NodeKey node) {
        return heard.getOrDefault(node, Map.of()).values().stream()
                .filter(
                        one ->
                                one.age(now).compareTo(HEARSAY_AGE) < 0
                                        && one.report().kind() != Report.Kind.WELL)
                .mapToDouble(one -> Math.max(1, one.report().slowness()))
                .sum();
    }

    /** Reports held. */
    public int size() {
        return own.size() + heard.values().stream().mapToInt(Map::size).sum();
    }
}
