package postbeam.migration;

/** Where a migration stands. Up to CHECKPOINT the old side serves, from WATCHED on the new one. */
public enum MigrationState {
    /** Waits until the limits allow it to begin. */
    PLANNED("PLANNED"),
    /** Targets copy, in batches. */
    COPYING("COPYING"),
    /** All targets hold all of it and are kept up to date. */
    CAUGHT_UP("CAUGHT_UP"),
    /** Both sides are compared. */
    VERIFYING("VERIFYING"),
    /** Waits for an operator before the switch. */
    SWITCH_CHECKPOINT("CHECKPOINT"),
    /** Each slice is fenced at its old holder and cut over to the new one. */
    SWITCHING("SWITCHING"),
    /** The new side serves; the old holders are fenced and keep what they have. */
    OBSERVING("WATCHED"),
    /** Waits for an operator before the old side is dropped. */
    RETIREMENT_CHECKPOINT("LAST_CHECKPOINT"),
    /** The old side is being dropped: no way back. */
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

    public boolean isFinal() {
        return this == RETIRED || this == ROLLED_BACK;
    }

    /** The migration may still be taken back. */
    public boolean allowsRollback() {
        return ordinal() <= RETIREMENT_CHECKPOINT.ordinal();
    }
}
