package postbeam.testbed.trials;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import postbeam.errors.OperatorErrorException;
import postbeam.migration.Migration;
import postbeam.migration.MigrationAction;
import postbeam.migration.MigrationJournalState;
import postbeam.migration.MigrationManager;
import postbeam.slices.Coordinator;
import postbeam.slices.Move;
import postbeam.testbed.simulation.MigrationSimulation;
import postbeam.testbed.simulation.SimulatedMigrationCoordinator;

/**
 * Members' migrations under load and troubles on the jumping clock, compared with what is known to
 * have run.
 */
public final class MigrationTrial implements Trial {
    /** What can be planted. */
    public enum Defect {
        /** The switch is over at once, whatever routers hold. */
        SWITCH_BEFORE_ALL_TOLD,
        /** Nothing is compared. */
        VERIFY_SKIPPED,
        /** After the switch the old holder takes over as it stands. */
        ROLLBACK_LOSES
    }

    /** An operator's order to a coordinator. */
    public interface Ordered {
        List<MigrationAction> give() throws OperatorErrorException;
    }

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
        return Stream.of(Defect.values())
                .map(one -> one.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                .toList();
    }

    @Override
    public boolean jumps() {
        return true;
    }

    public static MigrationManager planted(
            Defect defect, Coordinator coordinator, MigrationJournalState book, Duration now) {
        return defect == null
                ? new MigrationManager(coordinator, book, SimulatedMigrationCoordinator.LIMITS, now)
                : new MigrationManager(
                        coordinator, book, SimulatedMigrationCoordinator.LIMITS, now) {
                    @Override
                    protected boolean isVerified(Migration one, Move move) {
                        return defect == Defect.VERIFY_SKIPPED
                                || defect == Defect.ROLLBACK_LOSES && one.rollbackReason() != null
                                || super.isVerified(one, move);
                    }

                    @Override
                    protected boolean allRoutersAcknowledged(long version, Duration at) {
                        return defect == Defect.SWITCH_BEFORE_ALL_TOLD
                                || super.allRoutersAcknowledged(version, at);
                    }
                };
    }

    @Override
    public Result run(long seed, String defect) {
        return world(seed, defect).run();
    }

    MigrationSimulation world(long seed, String defect) {
        Defect planted =
                defect == null
                        ? null
                        : Defect.valueOf(defect.toUpperCase(Locale.ROOT).replace('-', '_'));
        return new MigrationSimulation(seed, planted, seed % CALM_EVERY != 0);
    }
}
