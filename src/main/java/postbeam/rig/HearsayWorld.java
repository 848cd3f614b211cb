package postbeam.rig;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import postbeam.shared.CountEntry;
import postbeam.shared.Counts;
import postbeam.shared.Judgements;
import postbeam.shared.NodeKey;
import postbeam.shared.Report;
import postbeam.shared.Who;

/**
 * Counts and judgements of several routers in steps: each step one counts, gives up, tells, hears
 * something old or new, or comes back without memory. What was truly counted is summed apart; one
 * router lies about data nodes.
 */
final class HearsayWorld {
    private static final int STEPS = 600;
    private static final double LIMIT = 30;

    /** Steps of one bucket. */
    private static final int BUCKET = 40;

    private static final List<String> KEYS = List.of("acme", "globex");

    /** Messages that may still come. */
    private static final int WAITING = 30;

    private final UniformRandomProvider chance;
    private final PlantedSharing.Defect defect;
    private final List<String> names;
    private final List<Counts> counts = new ArrayList<>();
    private final List<List<CountEntry>> waiting = new ArrayList<>();
    private final Map<String, Double> truth = new TreeMap<>();
    private final List<String> broken = new ArrayList<>();
    private long runs;
    private long taken;

    HearsayWorld(int routers, PlantedSharing.Defect defect, long seed) {
        this.chance = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.defect = defect;
        this.names = IntStream.range(0, routers).mapToObj(i -> "r" + i).toList();
        names.forEach(name -> counts.add(started(name, -3)));
    }

    private Counts started(String name, long bucket) {
        return new Counts(new Who(name, ++runs), names, names.size(), bucket) {
            @Override
            protected double gaveUp(CountEntry entry, double even) {
                return entry == null && defect == PlantedSharing.Defect.UNHEARD_AS_NOTHING
                        ? even
                        : super.gaveUp(entry, even);
            }

            @Override
            protected CountEntry newer(CountEntry known, CountEntry next) {
                boolean twice =
                        defect == PlantedSharing.Defect.COUNT_MERGED_TWICE
                                && next.who().incarnation() >= known.who().incarnation();
                return twice
                        ? new CountEntry(
                                next.who(),
                                next.key(),
                                next.bucket(),
                                next.version(),
                                known.count() + next.count(),
                                Math.min(known.most(), next.most()))
                        : super.newer(known, next);
            }
        };
    }

    List<String> run() {
        for (int step = 0; step < STEPS && broken.isEmpty(); step++) {
            long bucket = step / BUCKET;
            int i = chance.nextInt(names.size());
            Counts one = counts.get(i);
            one.begun(bucket);
            String key = KEYS.get(chance.nextInt(KEYS.size()));
            switch (chance.nextInt(8)) {
                case 0 ->
                        one.keep(
                                key,
                                bucket + chance.nextInt(2),
                                chance.nextDouble() * LIMIT / names.size(),
                                LIMIT);
                case 1 -> waiting.add(one.tell());
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

    /** Any message that waits, in any order, and it may come again. */
    private void hear(Counts one) {
        if (!waiting.isEmpty()) {
            one.heard(waiting.get(chance.nextInt(waiting.size())));
        }
    }

    private void count(Counts one, String key, long bucket) {
        double amount = 0.2 + chance.nextDouble();
        for (int i = 0; i < 8; i++) {
            if (one.count(key, bucket, amount, LIMIT)) {
                taken++;
                double sum = truth.merge(key + bucket, amount, Double::sum);
                if (sum > LIMIT + 1e-6) {
                    broken.add(
                            String.format(
                                    "%.3f of %s were counted in bucket %d, over the limit of %.0f",
                                    sum, key, bucket, LIMIT));
                }
            }
        }
    }

    private void look(Counts one, String key, long bucket) {
        double known = one.atLeast(key, bucket);
        double sum = truth.getOrDefault(key + bucket, 0.0);
        if (known > sum + 1e-6) {
            broken.add(
                    String.format(
                            "%.3f of %s are known in bucket %d, where %.3f were counted",
                            known, key, bucket, sum));
        }
    }

    long taken() {
        return taken;
    }

    /**
     * One router says of all nodes that they are silent, again and again; two of its zone are truly
     * cut off from one.
     */
    private void lie() {
        Judgements mine =
                new Judgements("r0", Math.max(4, names.size()), 3) {
                    @Override
                    protected boolean enough(int reporters, int ofZones) {
                        return defect == PlantedSharing.Defect.ONE_REPORTER_BELIEVED
                                || super.enough(reporters, ofZones);
                    }
                };
        List<NodeKey> holders =
                IntStream.range(0, 4).mapToObj(i -> new NodeKey("n" + i, 1)).toList();
        for (int step = 0; step < 40; step++) {
            Duration now = Duration.ofMillis(100L * step);
            NodeKey node = holders.get(chance.nextInt(holders.size()));
            mine.heard(
                    now,
                    new Report(
                            "liar",
                            "z" + chance.nextInt(3),
                            node,
                            Report.Kind.SILENT,
                            9,
                            99,
                            Duration.ZERO));
            mine.heard(
                    now,
                    new Report(
                            "r" + (1 + chance.nextInt(2)),
                            "z1",
                            holders.get(0),
                            Report.Kind.SILENT,
                            9,
                            99,
                            upTo(Duration.ofSeconds(4))));
            if (holders.stream().skip(1).anyMatch(other -> mine.condemned(now, other))) {
                broken.add("a node is condemned on the word of one router");
                return;
            }
            long marked =
                    mine.shares(now, holders).values().stream().filter(share -> share < 1).count();
            if (marked > 2) {
                broken.add(marked + " of " + holders.size() + " holders are held back by hearsay");
                return;
            }
        }
    }

    private Duration upTo(Duration most) {
        return Duration.ofNanos((long) (chance.nextDouble() * most.toNanos()));
    }
}
