package postbeam.testbed.trials;

import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import postbeam.testbed.simulation.DefectiveMigration;
import postbeam.testbed.simulation.MigrationSimulation;
import postbeam.testbed.verification.TrialResult;

/**
 * Members' migrations under load and troubles on the jumping clock, compared with what is known to
 * have run.
 */
public final class MigrationTrial implements Trial {
    /** Every so many seeds nothing goes wrong, for the figures. */
    private static final int CALM_EVERY = 50;

    @Override
    public String name() {
        return "migration";
    }

    @Override
    public String about() {
        return "members' migrations with holds under load, a coordinator, router or source killed"
                + " at each record in turn, two coordinators, rollback racing the switch, on a"
                + " clock that jumps";
    }

    @Override
    public List<String> defects() {
        return Stream.of(DefectiveMigration.Defect.values())
                .map(one -> one.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                .toList();
    }

    @Override
    public boolean jumps() {
        return true;
    }

    @Override
    public TrialResult run(long seed, String defect) {
        return world(seed, defect).run();
    }

    MigrationSimulation world(long seed, String defect) {
        DefectiveMigration.Defect planted =
                defect == null
                        ? null
                        : DefectiveMigration.Defect.valueOf(
                                defect.toUpperCase(Locale.ROOT).replace('-', '_'));
        return new MigrationSimulation(seed, planted, seed % CALM_EVERY != 0);
    }
}
