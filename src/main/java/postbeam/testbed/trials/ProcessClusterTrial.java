package postbeam.testbed.trials;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import postbeam.testbed.cluster.FaultProxy;
import postbeam.testbed.cluster.LoadGenerator;
import postbeam.testbed.cluster.ProcessCluster;
import postbeam.testbed.verification.InvariantChecker;
import postbeam.testbed.verification.TrialResult;

/**
 * Processes of the built program under load, with faults between and to them, each drawn from the
 * seed.
 */
final class ProcessClusterTrial implements Trial {
    private static final List<FaultProxy.Direction> DIRECTIONS =
            List.of(FaultProxy.Direction.values());
    private static final List<FaultProxy.Fault> FAULT_KINDS = List.of(FaultProxy.Fault.values());
    private static final int NODES = 6;
    private static final int ROUTERS = 4;
    private static final int SHARDS = 8;
    private static final double RATE = 120;
    private static final int FAULTS = 24;

    /** Between two faults, in milliseconds, and up to so much more. */
    private static final int BEAT = 300;

    private static final int BEAT_MORE = 700;
    private static final String UNTOLD = "drain-untold";

    /**
     * Defects that a wrong configuration makes of a router: it keeps to less than its referee holds
     * it to.
     */
    private static final Map<String, UnaryOperator<String>> ALTERED = new LinkedHashMap<>();

    static {
        ALTERED.put(
                "whole-budget",
                config ->
                        config.replace("\"nInstances\":" + ROUTERS, "\"nInstances\":1")
                                .replace("\"fallMultiple\":2", "\"fallMultiple\":8"));
        ALTERED.put(
                "holds-repeat",
                config -> config.replace("\"effect\":\"fragile\"", "\"effect\":\"retryable\""));
        ALTERED.put(
                "low-floor",
                config ->
                        config.replace(
                                "\"leastShare\":[0.75,0.5,1,1]", "\"leastShare\":[0.1,0.1,1,1]"));
    }

    @Override
    public String name() {
        return "together";
    }

    @Override
    public String about() {
        return ROUTERS
                + " routers and "
                + NODES
                + " nodes as processes, "
                + FAULTS
                + " faults by seed: ways cut, cut one "
                + "way, silent, slow, reordered or reset; processes killed, stopped, woken; drains";
    }

    @Override
    public List<String> defects() {
        List<String> all = new ArrayList<>(ALTERED.keySet());
        all.add(UNTOLD);
        return all;
    }

    @Override
    public TrialResult run(long seed, String defect) {
        List<String> figures = new ArrayList<>();
        List<String> broken = new ArrayList<>();
        UnaryOperator<String> altered =
                ALTERED.getOrDefault(String.valueOf(defect), config -> config);
        try (ProcessCluster cluster =
                new ProcessCluster(
                        new ProcessCluster.Size(
                                NODES,
                                ROUTERS,
                                SHARDS,
                                false,
                                ProcessCluster.PATIENT,
                                (all, file, text) -> altered.apply(text)),
                        seed)) {
            ProcessCluster.Clients clients = cluster.clients(RATE, seed + 1);
            LoadGenerator generator = clients.load;
            try {
                new Script(
                                cluster,
                                RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 2),
                                UNTOLD.equals(defect))
                        .play();
                clients.allServe();
            } catch (IOException e) {
                broken.add(e.getMessage());
            }
            clients.stop();
            InvariantChecker judged = cluster.judged();
            figures.add(
                    String.format(
                            Locale.ROOT,
                            "seed %d: %d queries, %.4f in SLO time; %d calls, %d further, %d runs; "
                                    + "99th percentile %.0f ms; statuses %s",
                            seed,
                            generator.queriesSent(),
                            generator.fractionInTime(),
                            judged.calls(),
                            judged.retries(),
                            judged.runs(),
                            generator.latencyMillis(99),
                            generator.statuses()));
            broken.addAll(judged.violations());
        } catch (IOException e) {
            broken.add("the fleet broke: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            broken.add("interrupted");
        }
        return new TrialResult(figures, broken);
    }

    /** The faults of a seed; each is over by the end. */
    private record Script(ProcessCluster fleet, UniformRandomProvider chance, boolean untold) {
        void play() throws IOException, InterruptedException {
            if (untold) {
                fleet.pretendAnnounced("n0");
            }
            String down = null;
            String stopped = null;
            String draining = null;
            for (int i = 0; i < FAULTS; i++) {
                Thread.sleep(BEAT + chance.nextInt(BEAT_MORE));
                String router = "r" + chance.nextInt(ROUTERS);
                String node = "n" + chance.nextInt(NODES);
                FaultProxy way = fleet.proxy(router, node);
                switch (chance.nextInt(8)) {
                    case 0, 1 ->
                            way.set(
                                    DIRECTIONS.get(chance.nextInt(2)),
                                    FAULT_KINDS.get(1 + chance.nextInt(2)),
                                    Duration.ZERO);
                    case 2 -> way.setBoth(FaultProxy.Fault.CUT, Duration.ZERO);
                    case 3 ->
                            way.setBoth(
                                    FAULT_KINDS.get(3 + chance.nextInt(2)),
                                    Duration.ofMillis(chance.nextInt(100)));
                    case 4 -> way.reset();
                    case 5 -> fleet.healAll();
                    case 6 -> {
                        if (down != null) {
                            fleet.start(down);
                        }
                        down =
                                down != null
                                        ? null
                                        : chance.nextInt(3) == 0 && !router.equals(stopped)
                                                ? router
                                                : node.equals(draining) ? null : node;
                        if (down != null) {
                            fleet.kill(down);
                        }
                    }
                    default -> {
                        if (stopped != null) {
                            fleet.resume(stopped);
                            stopped = null;
                        } else if (draining != null) {
                            fleet.tell(draining, "up");
                            draining = null;
                        } else if (chance.nextBoolean() && !router.equals(down)) {
                            stopped = router;
                            fleet.stop(router);
                        } else if (!node.equals(down)) {
                            draining = node;
                            fleet.tell(node, "draining");
                        }
                    }
                }
            }
            fleet.healAll();
            if (stopped != null) {
                fleet.resume(stopped);
            }
            if (down != null) {
                fleet.start(down);
            }
        }
    }
}
