package postbeam.migration;

/** Why a migration is paused. */
public enum Cause {
    OPERATOR("OPERATOR"),
    /** A node that is to take a slice started lately. */
    TARGET_COLD("TARGET_COLD"),
    /** A slice has one ready holder left. */
    SHARD_THIN("SHARD_THIN"),
    /** The member's utility fell. */
    UTILITY_FELL("UTILITY_FELL"),
    /** A copy, or an answer about one, takes too long. */
    STARVED("STARVED"),
    /** The two sides differ. */
    DIFFERS("DIFFERS"),
    /** A move was abandoned, or can't be planned. */
    MOVE_FAILED("MOVE_FAILED");

    private final String wireName;

    Cause(String wireName) {
        this.wireName = wireName;
    }

    /** Its name in texts for operators; does not change when a constant is renamed. */
    public String wireName() {
        return wireName;
    }
}
