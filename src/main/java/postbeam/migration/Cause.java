package postbeam.migration;

/** Why a migration is paused. */
public enum Cause {
    OPERATOR,
    /** A node that is to take a slice started lately. */
    TARGET_COLD,
    /** A slice has one ready holder left. */
    SHARD_THIN,
    /** The member's utility fell. */
    UTILITY_FELL,
    /** A copy, or an answer about one, takes too long. */
    STARVED,
    /** The two sides differ. */
    DIFFERS,
    /** A move was abandoned, or can't be planned. */
    MOVE_FAILED
}
