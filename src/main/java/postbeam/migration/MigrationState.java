package postbeam.migration;

/**
 * The states of a migration. Up to SWITCH_CHECKPOINT the old side serves, from OBSERVING on the new
 * one.
 */
public enum MigrationState {
    /** Waits until the limits allow it to start. */
    PLANNED("PLANNED"),
    /** Targets copy their slices, in batches. */
    COPYING("COPYING"),
    /** All targets hold all of their slices and are kept up to date. */
    CAUGHT_UP("CAUGHT_UP"),
    /** The replicas of both sides are compared. */
    VERIFYING("VERIFYING"),
    /** Waits for an operator before the switch. */
    SWITCH_CHECKPOINT("CHECKPOINT"),
    /** Each slice is fenced at its old holder and cut over to the new one. */
    SWITCHING("SWITCHING"),
    /** The new side serves; the old holders are fenced and keep their data. */
    OBSERVING("WATCHED"),
    /** Waits for an operator before the old side is dropped. */
    RETIREMENT_CHECKPOINT("LAST_CHECKPOINT"),
    /** The old side is being dropped: no rollback any more. */
    RETIRING("RETIRING"),
    /** Over: the new side serves. */
    RETIRED("RETIRED"),
    /** On the way to what was served before. */
    ROLLING_BACK("ROLLING_BACK"),
    /** Over: the old side serves. */
    ROLLED_BACK("ROLLED_BACK");

    private final String wireName;

    MigrationState(String wireName) {
        this.wireName = wireName;
    }

    /** Its name in texts for operators; does not change when a constant is renamed. */
    public String wireName() {
        return wireName;
    }

    /** Whether the migration is over. */
    public boolean isFinal() {
        return this == RETIRED || this == ROLLED_BACK;
    }

    /** Whether the migration may still be rolled back. */
    public boolean allowsRollback() {
        return switch (this) {
            case PLANNED,
                    COPYING,
                    CAUGHT_UP,
                    VERIFYING,
                    SWITCH_CHECKPOINT,
                    SWITCHING,
                    OBSERVING,
                    RETIREMENT_CHECKPOINT ->
                    true;
            case RETIRING, RETIRED, ROLLING_BACK, ROLLED_BACK -> false;
        };
    }
}
