package postbeam.migration;

/**
 * The states of a migration. Up to {@link #SWITCH_CHECKPOINT} the sources of its transfers serve
 * the slices, from {@link #OBSERVING} on the targets do.
 */
public enum MigrationState {
    /** Waits until the limit on active migrations allows it to start. */
    PLANNED("PLANNED"),
    /** The targets copy their slices, in batches. */
    COPYING("COPYING"),
    /** All targets hold complete copies of their slices and keep them up to date. */
    CAUGHT_UP("CAUGHT_UP"),
    /** The replicas at sources and targets are compared. */
    VERIFYING("VERIFYING"),
    /** Waits for an operator's approval of the switch to the targets. */
    SWITCH_CHECKPOINT("CHECKPOINT"),
    /** Each slice is fenced at its source and cut over to its target. */
    SWITCHING("SWITCHING"),
    /** The targets serve; the sources are fenced and keep their data. */
    OBSERVING("WATCHED"),
    /** Waits for an operator's approval to drop the data at the sources. */
    RETIREMENT_CHECKPOINT("LAST_CHECKPOINT"),
    /** The sources drop their data; a rollback is no longer possible. */
    RETIRING("RETIRING"),
    /** Final: the targets serve. */
    RETIRED("RETIRED"),
    /** The slices are handed back to their sources. */
    ROLLING_BACK("ROLLING_BACK"),
    /** Final: the sources serve. */
    ROLLED_BACK("ROLLED_BACK");

    private final String wireName;

    MigrationState(String wireName) {
        this.wireName = wireName;
    }

    /** The name in texts for operators, which stays the same when a constant is renamed. */
    public String wireName() {
        return wireName;
    }

    /** Whether the migration has ended. */
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
