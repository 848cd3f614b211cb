package postbeam.testbed.simulation;

import java.time.Duration;
import postbeam.migration.Migration;
import postbeam.migration.MigrationJournalState;
import postbeam.migration.MigrationManager;
import postbeam.slices.Coordinator;
import postbeam.slices.Move;

/** A migration manager with one planted defect, which the migration trial must detect. */
public final class DefectiveMigration extends MigrationManager {
    /** The defects. Their names, in lower case and with dashes, are arguments of the trial. */
    public enum Defect {
        /** The switch ends at once, whatever layout version routers still use. */
        SWITCH_BEFORE_ALL_TOLD,
        /** The replicas are not compared before the switch. */
        VERIFY_SKIPPED,
        /** After a rollback the source serves without the rows written since the switch. */
        ROLLBACK_LOSES
    }

    private final Defect defect;

    private DefectiveMigration(
            Defect defect, Coordinator coordinator, MigrationJournalState journal, Duration now) {
        super(coordinator, journal, SimulatedMigrationCoordinator.LIMITS, now);
        this.defect = defect;
    }

    /** Creates a manager with the defect, or a correct one if the defect is null. */
    static MigrationManager create(
            Defect defect, Coordinator coordinator, MigrationJournalState journal, Duration now) {
        return defect == null
                ? new MigrationManager(
                        coordinator, journal, SimulatedMigrationCoordinator.LIMITS, now)
                : new DefectiveMigration(defect, coordinator, journal, now);
    }

    @Override
    public boolean isVerified(Migration migration, Move move) {
        return defect == Defect.VERIFY_SKIPPED
                || (defect == Defect.ROLLBACK_LOSES && migration.rollbackReason() != null)
                || super.isVerified(migration, move);
    }

    @Override
    public boolean allRoutersAcknowledged(long version, Duration at) {
        return defect == Defect.SWITCH_BEFORE_ALL_TOLD || super.allRoutersAcknowledged(version, at);
    }
}
