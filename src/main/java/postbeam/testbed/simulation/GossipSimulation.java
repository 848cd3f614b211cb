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
    private static final int BUCKET = 40;

    private static final List<String> KEYS = List.of("acme", "globex");

    /** The most undelivered messages kept; beyond it a random one is dropped. */
    private static final int WAITING = 30;

    private final UniformRandomProvider chance;
    private final DefectiveCoordination.Defect defect;
    private final List<String> names;
    private final List<QuotaCounters> counts = new ArrayList<>();
    private final List<List<QuotaCounterEntry>> waiting = new ArrayList<>();
    private final Map<String, Double> truth = new TreeMap<>();
    private final List<String> broken = new ArrayList<>();
    private long runs;
    private long countedAttempts;

    /** Prepares a run in which the seed decides every random choice. */
    public GossipSimulation(int routers, DefectiveCoordination.Defect defect, long seed) {
        this.chance = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.defect = defect;
        this.names = IntStream.range(0, routers).mapToObj(i -> "r" + i).toList();
        names.forEach(name -> counts.add(started(name, -3)));
    }

    private QuotaCounters started(String name, long bucket) {
        return new QuotaCounters(new ProcessIdentity(name, ++runs), names, names.size(), bucket) {
            @Override
            protected double yielded(QuotaCounterEntry entry, double even) {
                return entry == null && defect == DefectiveCoordination.Defect.UNHEARD_AS_NOTHING
                        ? even
                        : super.yielded(entry, even);
            }

            @Override
            protected QuotaCounterEntry newer(QuotaCounterEntry known, QuotaCounterEntry next) {
                boolean twice =
                        defect == DefectiveCoordination.Defect.COUNT_MERGED_TWICE
                                && next.process().incarnation() >= known.process().incarnation();
                return twice
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
        for (int step = 0; step < STEPS && broken.isEmpty(); step++) {
            long bucket = step / BUCKET;
            int i = chance.nextInt(names.size());
            QuotaCounters one = counts.get(i);
            one.startBucket(bucket);
            String key = KEYS.get(chance.nextInt(KEYS.size()));
            switch (chance.nextInt(8)) {
                case 0 ->
                        one.capOwnShare(
                                key,
                                bucket + chance.nextInt(2),
                                chance.nextDouble() * LIMIT / names.size(),
                                LIMIT);
                case 1 -> waiting.add(one.entriesToSend());
                case 2, 3 -> hear(one);
                case 4 -> {
                    if (chance.nextDouble() < 0.2) {
                        counts.set(i, started(names.get(i), bucket));
                    }
                }
                default -> count(one, key, bucket);
            }
            if (waiting.size() > WAITING) {
                waiting.remove(chance.nextInt(waiting.size()));
            }
            look(one, key, bucket);
        }
        lie();
        return broken;
    }

    /**
     * Merges a random pending message. It stays pending, so messages arrive out of order and
     * repeatedly.
     */
    private void hear(QuotaCounters one) {
        if (!waiting.isEmpty()) {
            one.merge(waiting.get(chance.nextInt(waiting.size())));
        }
    }

    private void count(QuotaCounters one, String key, long bucket) {
        double amount = 0.2 + chance.nextDouble();
        for (int i = 0; i < 8; i++) {
            if (one.tryCount(key, bucket, amount, LIMIT)) {
                countedAttempts++;
                double sum = truth.merge(key + bucket, amount, Double::sum);
                if (sum > LIMIT + 1e-6) {
                    broken.add(
                            String.format(
                                    "%.3f of key %s were counted in bucket %d, over the limit of"
                                            + " %.0f",
                                    sum, key, bucket, LIMIT));
                }
            }
        }
    }

    private void look(QuotaCounters one, String key, long bucket) {
        double known = one.knownTotal(key, bucket);
        double sum = truth.getOrDefault(key + bucket, 0.0);
        if (known > sum + 1e-6) {
            broken.add(
                    String.format(
                            "a router knows of %.3f of key %s in bucket %d, but only %.3f were"
                                    + " counted",
                            known, key, bucket, sum));
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
    private void lie() {
        HealthGossip mine =
                new HealthGossip("r0", Math.max(4, names.size()), 3) {
                    @Override
                    protected boolean isCorroborated(int reporters, int ofZones) {
                        return defect == DefectiveCoordination.Defect.ONE_REPORTER_BELIEVED
                                || super.isCorroborated(reporters, ofZones);
                    }
                };
        List<NodeIncarnation> holders =
                IntStream.range(0, 4).mapToObj(i -> new NodeIncarnation("n" + i, 1)).toList();
        for (int step = 0; step < 40; step++) {
            Duration now = Duration.ofMillis(100L * step);
            NodeIncarnation node = holders.get(chance.nextInt(holders.size()));
            mine.recordRemote(
                    now,
                    new HealthReport(
                            "liar",
                            "z" + chance.nextInt(3),
                            node,
                            HealthReport.Kind.UNRESPONSIVE,
                            9,
                            99,
                            Duration.ZERO));
            mine.recordRemote(
                    now,
                    new HealthReport(
                            "r" + (1 + chance.nextInt(2)),
                            "z1",
                            holders.get(0),
                            HealthReport.Kind.UNRESPONSIVE,
                            9,
                            99,
                            upTo(Duration.ofSeconds(4))));
            if (holders.stream().skip(1).anyMatch(other -> mine.isUnhealthy(now, other))) {
                broken.add("a node is unhealthy on the reports of a single router");
                return;
            }
            long marked =
                    mine.trafficFractions(now, holders).values().stream()
                            .filter(share -> share < 1)
                            .count();
            if (marked > 2) {
                broken.add(
                        marked
                                + " of "
                                + holders.size()
                                + " nodes have their traffic reduced by remote reports; the limit"
                                + " is 2");
                return;
            }
        }
    }

    private Duration upTo(Duration most) {
        return Duration.ofNanos((long) (chance.nextDouble() * most.toNanos()));
    }
}
