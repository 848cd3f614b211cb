package postbeam.testbed.trials;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import postbeam.testbed.simulation.DefectiveSlicing;
import postbeam.testbed.simulation.SimulatedCluster;
import postbeam.testbed.verification.TrialResult;

/**
 * Re-cuts under load and troubles on the jumping clock: fast, so that many seeds meet rare things.
 */
final class ReshardingTrial implements Trial {
    @Override
    public String name() {
        return "recuts";
    }

    @Override
    public String about() {
        return "slices split, merge and move under load and troubles, on a clock that jumps; no"
                + " sockets";
    }

    @Override
    public List<String> defects() {
        return Stream.of(DefectiveSlicing.Defect.values()).map(ReshardingTrial::spelt).toList();
    }

    @Override
    public boolean jumps() {
        return true;
    }

    static String spelt(DefectiveSlicing.Defect defect) {
        return defect.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Null where the name is null. */
    static DefectiveSlicing.Defect defect(String name) {
        return name == null
                ? null
                : DefectiveSlicing.Defect.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    @Override
    public TrialResult run(long seed, String defect) {
        // Every third seed is a small one where all is held nearly everywhere: there slices split
        // and merge all the time.
        SimulatedCluster.Plan plan =
                seed % 3 == 0
                        ? new SimulatedCluster.Plan(
                                5,
                                3,
                                8,
                                4,
                                Duration.ofSeconds(15),
                                120,
                                Duration.ofMillis(60),
                                true,
                                defect(defect))
                        : new SimulatedCluster.Plan(
                                8,
                                3,
                                12,
                                3,
                                Duration.ofSeconds(15),
                                120,
                                Duration.ofMillis(250),
                                true,
                                defect(defect));
        SimulatedCluster cluster = new SimulatedCluster(plan, seed);
        List<String> broken = cluster.run();
        return new TrialResult(
                List.of(
                        String.format(
                                Locale.ROOT,
                                "seed %d: %d queries, %.3f in SLO time; %d calls, %.3f a query; %d"
                                        + " re-cuts planned, %d cut over, %d abandoned, layout %d",
                                seed,
                                cluster.queriesSent(),
                                (double) cluster.answeredInTime()
                                        / Math.max(1, cluster.queriesSent()),
                                cluster.checker.calls(),
                                (double) cluster.checker.calls()
                                        / Math.max(1, cluster.queriesSent()),
                                cluster.moves.movesStarted(),
                                cluster.moves.movesCutOver(),
                                cluster.moves.movesAbandoned(),
                                cluster.publishedLayouts.get(cluster.publishedLayouts.size() - 1)
                                        .version)),
                broken);
    }
}
