package postbeam.rig;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import postbeam.discovery.LongPoll;
import postbeam.layouts.LayoutWatch;
import postbeam.slices.Layout;
import postbeam.slices.Slice;

/**
 * Re-cuts under steady load on loopback sockets: the product's routers and layout service, stand-in
 * nodes. The same load runs with re-cuts and without, side by side in the figures.
 */
final class SlicesTrial implements Trial {
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
    SlicesTrial(String name, Duration length, Duration recutEvery, double rate, boolean beside) {
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
    public Result run(long seed, String defect) {
        List<String> figures = new ArrayList<>();
        List<String> broken = new ArrayList<>();
        try {
            if (defect == null && beside) {
                one(seed, null, false, figures, broken);
            }
            one(seed, RecutsTrial.defect(defect), true, figures, broken);
        } catch (IOException e) {
            broken.add("the stage broke: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return new Result(figures, broken);
    }

    private void one(
            long seed,
            PlantedSlicing.Defect defect,
            boolean recuts,
            List<String> figures,
            List<String> broken)
            throws IOException, InterruptedException {
        try (Stage stage =
                new Stage(new Stage.Size(NODES, ROUTERS, SLICES, HOLDERS, true, defect), seed)) {
            Load load =
                    new Load(
                            stage, true, SLICES, RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1));
            AtomicReference<Layout> layout = new AtomicReference<>();
            LongPoll<Layout> watch =
                    LayoutWatch.of(
                            stage.layouts(),
                            next -> {
                                layout.set(next);
                                load.known(next);
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
            stage.nodes.forEach(
                    node -> node.troubles(BAD_ANSWERS * rougher, LATE_ANSWERS * rougher));
            Duration beat = defect == null ? recutEvery : recutEvery.dividedBy(5);
            Thread operators =
                    new Thread(
                            () -> operators(stage, layout, recuts, seed, beat), "trial operators");
            operators.start();
            load.run(rate, length);
            operators.join();
            watch.stop();
            stage.referee.end(stage.now());
            long usedMb =
                    (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) >> 20;
            long over =
                    stage.movesSeen().stream().filter(move -> move.contains("forgotten")).count();
            figures.add(
                    String.format(
                            Locale.ROOT,
                            "seed %d, %s: %d queries, %.4f in SLO time, %.3f leaf calls a query,"
                                + " 99th percentile %.1f ms, heap %d MB, layout %d, statuses %s,"
                                + " last moves %d done",
                            seed,
                            recuts ? "re-cuts" : "none   ",
                            load.asked(),
                            load.inTime(),
                            (double) stage.referee.calls() / load.asked(),
                            load.millis(99),
                            usedMb,
                            layout.get().version,
                            load.statuses(),
                            over));
            broken.addAll(stage.referee.broken());
        }
    }

    /**
     * Asks for a re-cut at each beat, and brings small troubles: the same ones whether or not there
     * are re-cuts.
     */
    private void operators(
            Stage stage,
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
                StandInNode node = stage.nodes.get(chance.nextInt(stage.nodes.size()));
                if (beat % 7 == 3) {
                    node.slow(8);
                } else if (beat % 7 == 5) {
                    stage.nodes.forEach(all -> all.slow(1));
                }
                if (recuts && beat % 11 == 6) {
                    stage.stopService();
                } else if (recuts && beat % 11 == 8 && !stage.serving()) {
                    stage.startService();
                }
                if (recuts && stage.serving()) {
                    recut(stage, layout.get(), chance);
                }
            }
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Tries a few until one can be planned: a split, a merge, a move, now and then an abandoning.
     */
    private static void recut(Stage stage, Layout layout, UniformRandomProvider chance)
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
                if (stage.post("/v1/start", change).startsWith("move ")) {
                    return;
                }
            } catch (IOException e) {
                return;
            }
        }
    }
}
