package postbeam.testbed.trials;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import postbeam.coordination.ElectionTimeouts;
import postbeam.coordination.LeaseParameters;
import postbeam.testbed.simulation.CoordinationSimulation;
import postbeam.testbed.simulation.DefectiveCoordination;
import postbeam.testbed.simulation.GossipSimulation;
import postbeam.testbed.verification.TrialResult;

/**
 * What routers share keeps its bounds under random schedules of all that can fail, on the jumping
 * clock.
 */
final class CoordinationTrial implements Trial {
    private static final Duration DRIFT = Duration.ofMillis(30);
    private static final Duration WINDOW = Duration.ofSeconds(1);

    @Override
    public String name() {
        return "bounds";
    }

    @Override
    public String about() {
        return "keepers, leases and what is sent to cold nodes under loss, delay, crashes and"
                + " stops, on a clock that jumps; no sockets";
    }

    @Override
    public List<String> defects() {
        return DefectiveCoordination.names();
    }

    @Override
    public boolean jumps() {
        return true;
    }

    static LeaseParameters leases(
            int routers, Duration use, double reserved, double underWay, double callMost) {
        return new LeaseParameters(use, WINDOW, DRIFT, reserved, underWay, routers, callMost);
    }

    static ElectionTimeouts offices(Duration office) {
        return new ElectionTimeouts(office, office.multipliedBy(4).dividedBy(3), DRIFT);
    }

    @Override
    public TrialResult run(long seed, String defect) {
        // What may be under way is little, so that little hides in it. Every second seed has leases
        // that outlast offices, every fourth has more routers than parts that hold a leaf call.
        boolean outlasts = seed % 2 == 0;
        int routers = seed % 4 == 0 ? 9 : seed % 4 == 1 ? 3 : 5;
        double underWay = seed % 3 == 0 ? 0.05 : 0.1;
        LeaseParameters leases =
                leases(
                        routers,
                        Duration.ofMillis(outlasts ? 1500 : 600),
                        routers == 3 ? 0.6 : 0.25,
                        underWay,
                        underWay * 0.4);
        ElectionTimeouts offices = offices(Duration.ofMillis(outlasts ? 500 : 900));
        CoordinationSimulation world =
                new CoordinationSimulation(
                        new CoordinationSimulation.Plan(
                                routers,
                                2,
                                2,
                                Duration.ofSeconds(16),
                                true,
                                0,
                                leases,
                                offices,
                                DefectiveCoordination.defect(defect)),
                        seed);
        GossipSimulation hearsay =
                new GossipSimulation(routers, DefectiveCoordination.defect(defect), seed);
        List<String> broken = new ArrayList<>(hearsay.run());
        broken.addAll(world.run());
        CoordinationSimulation.BudgetUsage use = world.budgetUsage();
        return new TrialResult(
                List.of(
                        String.format(
                                Locale.ROOT,
                                "seed %d: %d routers, %d sends, %.3f of the budgets used, %.3f in"
                                    + " the fullest window, %d times a keeper won its office; %d"
                                    + " counted",
                                seed,
                                routers,
                                use.attemptsSent(),
                                use.usedWork() / use.budget(),
                                world.fullestShare(),
                                use.leadershipsWon(),
                                hearsay.countedAttempts())),
                broken);
    }
}
