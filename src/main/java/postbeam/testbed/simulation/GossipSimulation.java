package postbeam.testbed.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import postbeam.coordination.HealthGossip;
import postbeam.coordination.HealthReport;
import postbeam.coordination.NodeIncarnation;
import postbeam.coordination.ProcessIdentity;
import postbeam.coordination.QuotaCounterEntry;
import postbeam.coordination.QuotaCounters;

/**
 * Simulates the quota counters and health gossip of several routers in steps. In each step one
 * router counts attempts, caps its own share, sends its entries, merges an old or new message, or
 * restarts without memory. The true totals are kept separately and compared. In the health part,
 * one router sends false reports about data nodes.
 */
public final class GossipSimulation {
    private static final int STEPS = 600;
    private static final double LIMIT = 30;

    /** Steps per quota bucket. */
    private static final int STEPS_PER_BUCKET = 40;

    private static final List<String> KEYS = List.of("acme", "globex");

    /** The most undelivered messages kept; beyond it a random one is dropped. */
    private static final int MAX_PENDING = 30;

    private final UniformRandomProvider random;
    private final DefectiveCoordination.Defect defect;
    private final List<String> names;
    private final List<QuotaCounters> counters = new ArrayList<>();
    private final List<List<QuotaCounterEntry>> pending = new ArrayList<>();
    private final Map<String, Double> trueTotals = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();
    private long incarnations;
    private long countedAttempts;

    /** Prepares a run in which the seed decides every random choice. */
    public GossipSimulation(int routers, DefectiveCoordination.Defect defect, long seed) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.defect = defect;
        this.names = IntStream.range(0, routers).mapToObj(i -> "r" + i).toList();
        names.forEach(name -> counters.add(start(name, -3)));
    }

    private QuotaCounters start(String name, long bucket) {
        return new QuotaCounters(
                new ProcessIdentity(name, ++incarnations), names, names.size(), bucket) {
            @Override
            protected double yielded(QuotaCounterEntry entry, double even) {
                return entry == null && defect == DefectiveCoordination.Defect.UNHEARD_AS_NOTHING
                        ? even
                        : super.yielded(entry, even);
            }

            @Override
            protected QuotaCounterEntry newer(QuotaCounterEntry known, QuotaCounterEntry next) {
                boolean addsCounts =
                        defect == DefectiveCoordination.Defect.COUNT_MERGED_TWICE
                                && next.process().incarnation() >= known.process().incarnation();
                return addsCounts
                        ? new QuotaCounterEntry(
                                next.process(),
                                next.key(),
                                next.bucket(),
                                next.version(),
                                known.count() + next.count(),
                                Math.min(known.cap(), next.cap()))
                        : super.newer(known, next);
            }
        };
    }

    /** Runs the simulation. Returns the violations, one per line; empty if there are none. */
    public List<String> run() {
        for (int step = 0; step < STEPS && violations.isEmpty(); step++) {
            long bucket = step / STEPS_PER_BUCKET;
            int i = random.nextInt(names.size());
            QuotaCounters current = counters.get(i);
            current.startBucket(bucket);
            String key = KEYS.get(random.nextInt(KEYS.size()));
            switch (random.nextInt(8)) {
                case 0 ->
                        current.capOwnShare(
                                key,
                                bucket + random.nextInt(2),
                                random.nextDouble() * LIMIT / names.size(),
                                LIMIT);
                case 1 -> pending.add(current.entriesToSend());
                case 2, 3 -> mergePending(current);
                case 4 -> {
                    if (random.nextDouble() < 0.2) {
                        counters.set(i, start(names.get(i), bucket));
                    }
                }
                default -> count(current, key, bucket);
            }
            if (pending.size() > MAX_PENDING) {
                pending.remove(random.nextInt(pending.size()));
            }
            checkKnownTotal(current, key, bucket);
        }
        simulateFalseReports();
        return violations;
    }

    /**
     * Merges a random pending message. It stays pending, so messages arrive out of order and
     * repeatedly.
     */
    private void mergePending(QuotaCounters current) {
        if (!pending.isEmpty()) {
            current.merge(pending.get(random.nextInt(pending.size())));
        }
    }

    private void count(QuotaCounters current, String key, long bucket) {
        double amount = 0.2 + random.nextDouble();
        for (int i = 0; i < 8; i++) {
            if (current.tryCount(key, bucket, amount, LIMIT)) {
                countedAttempts++;
                double total = trueTotals.merge(key + bucket, amount, Double::sum);
                if (total > LIMIT + 1e-6) {
                    violations.add(
                            String.format(
                                    "%.3f of key %s were counted in bucket %d, over the limit of"
                                            + " %.0f",
                                    total, key, bucket, LIMIT));
                }
            }
        }
    }

    private void checkKnownTotal(QuotaCounters current, String key, long bucket) {
        double known = current.knownTotal(key, bucket);
        double total = trueTotals.getOrDefault(key + bucket, 0.0);
        if (known > total + 1e-6) {
            violations.add(
                    String.format(
                            "a router knows of %.3f of key %s in bucket %d, but only %.3f were"
                                    + " counted",
                            known, key, bucket, total));
        }
    }

    /** Returns the number of attempts that were counted in the run. */
    public long countedAttempts() {
        return countedAttempts;
    }

    /**
     * One router repeatedly reports random nodes as unresponsive, while two routers of one zone are
     * in fact cut off from one node. The false reports must not make other nodes unhealthy or
     * reduce the traffic of more than half of the nodes.
     */
    private void simulateFalseReports() {
        HealthGossip gossip =
                new HealthGossip("r0", Math.max(4, names.size()), 3) {
                    @Override
                    protected boolean isCorroborated(int reporters, int ofZones) {
                        return defect == DefectiveCoordination.Defect.ONE_REPORTER_BELIEVED
                                || super.isCorroborated(reporters, ofZones);
                    }
                };
        List<NodeIncarnation> nodes =
                IntStream.range(0, 4).mapToObj(i -> new NodeIncarnation("n" + i, 1)).toList();
        for (int step = 0; step < 40; step++) {
            Duration now = Duration.ofMillis(100L * step);
            NodeIncarnation node = nodes.get(random.nextInt(nodes.size()));
            gossip.recordRemote(
                    now,
                    new HealthReport(
                            "liar",
                            "z" + random.nextInt(3),
                            node,
                            HealthReport.Kind.UNRESPONSIVE,
                            9,
                            99,
                            Duration.ZERO));
            gossip.recordRemote(
                    now,
                    new HealthReport(
                            "r" + (1 + random.nextInt(2)),
                            "z1",
                            nodes.get(0),
                            HealthReport.Kind.UNRESPONSIVE,
                            9,
                            99,
                            randomDuration(Duration.ofSeconds(4))));
            if (nodes.stream().skip(1).anyMatch(other -> gossip.isUnhealthy(now, other))) {
                violations.add("a node is unhealthy on the reports of a single router");
                return;
            }
            long reduced =
                    gossip.trafficFractions(now, nodes).values().stream()
                            .filter(share -> share < 1)
                            .count();
            if (reduced > 2) {
                violations.add(
                        reduced
                                + " of "
                                + nodes.size()
                                + " nodes have their traffic reduced by remote reports; the limit"
                                + " is 2");
                return;
            }
        }
    }

    private Duration randomDuration(Duration max) {
        return Duration.ofNanos((long) (random.nextDouble() * max.toNanos()));
    }
}
