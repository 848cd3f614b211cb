package postbeam.testbed.trials;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import postbeam.coordination.LeaseParameters;
import postbeam.testbed.simulation.CoordinationSimulation;
import postbeam.testbed.verification.TrialResult;

/**
 * How much of cold nodes' budgets routers use, one of three busier than the others: figures for
 * docs/together.md.
 */
final class SlowStartUsageTrial implements Trial {
    private static final int ROUTERS = 5;

    @Override
    public String name() {
        return "cold-use";
    }

    @Override
    public String about() {
        return "the share of cold nodes' budgets that is used: even parts alone, leases, leases"
                + " with 2 of 5 cut off";
    }

    @Override
    public List<String> defects() {
        return List.of();
    }

    @Override
    public boolean jumps() {
        return true;
    }

    @Override
    public TrialResult run(long seed, String defect) {
        Duration use = Duration.ofMillis(600);
        List<String> figures = new ArrayList<>();
        List<String> broken = new ArrayList<>();
        one(
                seed,
                "even parts alone",
                CoordinationTrial.leases(ROUTERS, use, 0.899, 0.1, 0.04),
                0,
                figures,
                broken);
        LeaseParameters leases = CoordinationTrial.leases(ROUTERS, use, 0.25, 0.1, 0.04);
        one(seed, "leases", leases, 0, figures, broken);
        one(seed, "leases, 2 of 5 cut off", leases, 2, figures, broken);
        return new TrialResult(figures, broken);
    }

    private static void one(
            long seed,
            String name,
            LeaseParameters leases,
            int cutOff,
            List<String> figures,
            List<String> broken) {
        CoordinationSimulation world =
                new CoordinationSimulation(
                        new CoordinationSimulation.Plan(
                                ROUTERS,
                                2,
                                2,
                                Duration.ofSeconds(16),
                                false,
                                cutOff,
                                leases,
                                CoordinationTrial.offices(Duration.ofMillis(900)),
                                null),
                        seed);
        broken.addAll(world.run());
        CoordinationSimulation.BudgetUsage of = world.budgetUsage();
        figures.add(
                String.format(
                        Locale.ROOT,
                        "seed %d: %s: %.3f of the budgets used, half of one in a window after %d "
                                + "ms",
                        seed,
                        name,
                        of.usedWork() / of.budget(),
                        of.halfUsedAge() == null ? -1 : of.halfUsedAge().toMillis()));
    }
}
