package postbeam.testbed.trials;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import postbeam.discovery.LongPollWatcher;
import postbeam.layoutservice.LayoutWatch;
import postbeam.slices.Layout;
import postbeam.slices.Slice;
import postbeam.testbed.cluster.LoadGenerator;
import postbeam.testbed.cluster.LoopbackCluster;
import postbeam.testbed.fakes.FakeDataNode;
import postbeam.testbed.simulation.DefectiveSlicing;
import postbeam.testbed.verification.TrialResult;

/**
 * Re-cuts under steady load on loopback sockets: the product's routers and layout service, stand-in
 * nodes. The same load runs with re-cuts and without, side by side in the figures.
 */
final class LoopbackReshardingTrial implements Trial {
    private static final int NODES = 12;
    private static final int ROUTERS = 3;
    private static final int SLICES = 24;
    private static final int HOLDERS = 3;

    /** Shares of parts that run and are answered with an error, and of answers that come late. */
    private static final double BAD_ANSWERS = 0.01;

    private static final double LATE_ANSWERS = 0.02;

    private final Duration length;
    private final Duration recutEvery;
    private final double rate;
    private final String name;
    private final boolean beside;

    /** Beside: the same load runs without re-cuts first. */
    LoopbackReshardingTrial(
            String name, Duration length, Duration recutEvery, double rate, boolean beside) {
        this.name = name;
        this.beside = beside;
        this.length = length;
        this.recutEvery = recutEvery;
        this.rate = rate;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public String about() {
        return NODES
                + " nodes, "
                + ROUTERS
                + " routers, "
                + (int) rate
                + " queries a second for "
                + length.toSeconds()
                + " s, a re-cut every "
                + recutEvery.toMillis()
                + " ms; with troubles and beside the same load without";
    }

    @Override
    public List<String> defects() {
        return List.of("lineage", "resend");
    }

    @Override
    public TrialResult run(long seed, String defect) {
        List<String> figures = new ArrayList<>();
        List<String> broken = new ArrayList<>();
        try {
            if (defect == null && beside) {
                one(seed, null, false, figures, broken);
            }
            one(seed, ReshardingTrial.defect(defect), true, figures, broken);
        } catch (IOException e) {
            broken.add("the stage broke: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return new TrialResult(figures, broken);
    }

    private void one(
            long seed,
            DefectiveSlicing.Defect defect,
            boolean recuts,
            List<String> figures,
            List<String> broken)
            throws IOException, InterruptedException {
        try (LoopbackCluster cluster =
                new LoopbackCluster(
                        new LoopbackCluster.Size(NODES, ROUTERS, SLICES, HOLDERS, true, defect),
                        seed)) {
            LoadGenerator generator =
                    new LoadGenerator(
                            cluster,
                            true,
                            SLICES,
                            RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1));
            AtomicReference<Layout> layout = new AtomicReference<>();
            LongPollWatcher<Layout> watch =
                    LayoutWatch.of(
                            cluster.layoutServiceAddress(),
                            next -> {
                                layout.set(next);
                                generator.onLayout(next);
                            });
            Thread watching = new Thread(watch, "trial layouts");
            watching.setDaemon(true);
            watching.start();
            while (layout.get() == null) {
                Thread.sleep(10);
            }
            // What a defect needs to show, an answer that is bad and late across a re-cut, comes
            // often then.
            double rougher = defect == null ? 1 : 10;
            cluster.nodes.forEach(
                    node -> node.setFaultRates(BAD_ANSWERS * rougher, LATE_ANSWERS * rougher));
            Duration beat = defect == null ? recutEvery : recutEvery.dividedBy(5);
            Thread operators =
                    new Thread(
                            () -> operators(cluster, layout, recuts, seed, beat),
                            "trial operators");
            operators.start();
            generator.run(rate, length);
            operators.join();
            watch.stop();
            cluster.checker.end(cluster.now());
            long usedMb =
                    (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) >> 20;
            long over =
                    cluster.describeMoves().stream()
                            .filter(move -> move.contains("forgotten"))
                            .count();
            figures.add(
                    String.format(
                            Locale.ROOT,
                            "seed %d, %s: %d queries, %.4f in SLO time, %.3f leaf calls a query,"
                                + " 99th percentile %.1f ms, heap %d MB, layout %d, statuses %s,"
                                + " last moves %d done",
                            seed,
                            recuts ? "re-cuts" : "none   ",
                            generator.queriesSent(),
                            generator.fractionInTime(),
                            (double) cluster.checker.calls() / generator.queriesSent(),
                            generator.latencyMillis(99),
                            usedMb,
                            layout.get().version,
                            generator.statuses(),
                            over));
            broken.addAll(cluster.checker.violations());
        }
    }

    /**
     * Asks for a re-cut at each beat, and brings small troubles: the same ones whether or not there
     * are re-cuts.
     */
    private void operators(
            LoopbackCluster cluster,
            AtomicReference<Layout> layout,
            boolean recuts,
            long seed,
            Duration every) {
        UniformRandomProvider chance = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 2);
        long end = System.nanoTime() + length.toNanos();
        int beat = 0;
        try {
            while (System.nanoTime() < end) {
                Thread.sleep(every.toMillis());
                beat++;
                FakeDataNode node = cluster.nodes.get(chance.nextInt(cluster.nodes.size()));
                if (beat % 7 == 3) {
                    node.setSlowdown(8);
                } else if (beat % 7 == 5) {
                    cluster.nodes.forEach(all -> all.setSlowdown(1));
                }
                if (recuts && beat % 11 == 6) {
                    cluster.stopService();
                } else if (recuts && beat % 11 == 8 && !cluster.isServiceRunning()) {
                    cluster.startService();
                }
                if (recuts && cluster.isServiceRunning()) {
                    recut(cluster, layout.get(), chance);
                }
            }
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Tries a few until one can be planned: a split, a merge, a move, now and then an abandoning.
     */
    private static void recut(LoopbackCluster cluster, Layout layout, UniformRandomProvider chance)
            throws InterruptedException {
        for (int i = 0; i < 8; i++) {
            List<Slice> slices = layout.slices();
            int at = chance.nextInt(slices.size());
            Slice slice = slices.get(at);
            String change =
                    switch (chance.nextInt(slices.size() > 2 * SLICES ? 2 : 3)) {
                        case 0 ->
                                "{\"move\":"
                                        + slice.number()
                                        + ",\"off\":\""
                                        + slice.nodes().get(0)
                                        + "\",\"onto\":\"n"
                                        + chance.nextInt(NODES)
                                        + "\"}";
                        case 1 ->
                                at + 1 < slices.size()
                                        ? "{\"merge\":["
                                                + slice.number()
                                                + ","
                                                + slices.get(at + 1).number()
                                                + "]}"
                                        : "{\"merge\":[0]}";
                        default ->
                                "{\"split\":"
                                        + slice.number()
                                        + ",\"at\":["
                                        + (slice.keys().from() + slice.keys().size() / 2)
                                        + "]}";
                    };
            try {
                if (cluster.post("/v1/start", change).startsWith("move ")) {
                    return;
                }
            } catch (IOException e) {
                return;
            }
        }
    }
}
