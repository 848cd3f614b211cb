package postbeam.testbed.trials;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ForkJoinPool;
import java.util.stream.LongStream;
import postbeam.testbed.verification.TrialResult;

/**
 * Runs trials: prints a line a figure, and ends with 0 if all rules held, else 1 and how to run the
 * seed again.
 */
@Parameters(
        commandDescription =
                "Run a trial against stand-ins on loopback; exit status 1 if a rule broke")
public final class TrialCommand {
    private static final List<Trial> TRIALS =
            List.of(
                    new ReshardingTrial(),
                    new CoordinationTrial(),
                    new SlowStartUsageTrial(),
                    new PagingTrial(),
                    new ProcessClusterTrial(),
                    new MigrationTrial(),
                    new LoopbackReshardingTrial(
                            "slices", Duration.ofSeconds(60), Duration.ofSeconds(1), 150, true),
                    new LoopbackReshardingTrial(
                            "slices-alone",
                            Duration.ofSeconds(60),
                            Duration.ofSeconds(1),
                            150,
                            false),
                    new LoopbackReshardingTrial(
                            "slices-short",
                            Duration.ofSeconds(8),
                            Duration.ofMillis(250),
                            120,
                            true));

    /** Breaks of a seed that are printed. */
    private static final int BROKEN_SHOWN = 5;

    @Parameter(description = "NAME")
    private List<String> names = new ArrayList<>();

    @Parameter(
            names = "--list",
            description = "Name all trials and the defects that can be planted in each")
    private boolean list;

    @Parameter(names = "--seeds", description = "A, or A-B for all from A to B")
    private String seeds = "1";

    @Parameter(
            names = "--at-once",
            description = "Seeds side by side; on sockets each takes a core or more")
    private int atOnce = 1;

    @Parameter(
            names = "--plant",
            description = "A defect that the trial must catch: then 1 is the good end")
    private String plant;

    @Parameter(
            names = "--report",
            description = "File that the printed lines are written to as well")
    private String report;

    /** The exit status: 0 all held, 1 a rule broke, 2 it can't be run as asked. */
    public int run(PrintStream out) {
        if (list) {
            TRIALS.forEach(
                    trial ->
                            out.println(
                                    trial.name()
                                            + ": "
                                            + trial.about()
                                            + "; defects: "
                                            + String.join(", ", trial.defects())));
            return 0;
        }
        Trial trial =
                names.size() != 1
                        ? null
                        : TRIALS.stream()
                                .filter(one -> one.name().equals(names.get(0)))
                                .findFirst()
                                .orElse(null);
        if (trial == null) {
            out.println("trial: name one of " + TRIALS.stream().map(Trial::name).toList());
            return 2;
        }
        if (plant != null && !trial.defects().contains(plant)) {
            out.println(
                    "trial: "
                            + trial.name()
                            + " has no defect "
                            + plant
                            + ", only "
                            + trial.defects());
            return 2;
        }
        long[] range = range(seeds);
        if (range == null) {
            out.println("trial: --seeds takes A or A-B, not " + seeds);
            return 2;
        }
        List<String> lines = new ArrayList<>();
        boolean held =
                run(
                        trial,
                        range,
                        line -> {
                            synchronized (lines) {
                                lines.add(line);
                                out.println(line);
                            }
                        });
        if (report != null) {
            try {
                Files.write(Path.of(report), lines);
            } catch (IOException e) {
                out.println("trial: " + report + " can't be written: " + e.getMessage());
                return 2;
            }
        }
        return held ? 0 : 1;
    }

    private interface Printed {
        void line(String line);
    }

    /** On the jumping clock seeds run on all cores; on sockets as many at once as was said. */
    private boolean run(Trial trial, long[] range, Printed out) {
        int threads =
                trial.jumps() ? Runtime.getRuntime().availableProcessors() : Math.max(1, atOnce);
        ForkJoinPool pool = new ForkJoinPool(threads);
        try {
            return pool.submit(() -> runAll(trial, range, out)).join();
        } finally {
            pool.shutdown();
        }
    }

    private boolean runAll(Trial trial, long[] range, Printed out) {
        long broke =
                LongStream.rangeClosed(range[0], range[1])
                        .parallel()
                        .filter(
                                seed -> {
                                    TrialResult result = trial.run(seed, plant);
                                    if (range[1] - range[0] < 20
                                            || !result.violations().isEmpty()) {
                                        result.figures().forEach(out::line);
                                    }
                                    result.violations().stream()
                                            .limit(BROKEN_SHOWN)
                                            .forEach(line -> out.line("BROKEN " + line));
                                    if (!result.violations().isEmpty()) {
                                        out.line(
                                                "again: java -jar target/postbeam.jar trial "
                                                        + trial.name()
                                                        + " --seeds "
                                                        + seed
                                                        + (plant == null
                                                                ? ""
                                                                : " --plant " + plant));
                                    }
                                    return !result.violations().isEmpty();
                                })
                        .count();
        out.line(
                trial.name()
                        + (plant == null ? "" : " with " + plant)
                        + ": "
                        + (range[1] - range[0] + 1)
                        + " seeds, "
                        + broke
                        + " broke a rule");
        return broke == 0;
    }

    /** Null where it can't be read. */
    private static long[] range(String seeds) {
        try {
            int dash = seeds.indexOf('-', 1);
            long from = Long.parseLong(dash < 0 ? seeds : seeds.substring(0, dash));
            long to = dash < 0 ? from : Long.parseLong(seeds.substring(dash + 1));
            return from <= to ? new long[] {from, to} : null;
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
