package postbeam.migration;

/** Why a migration is paused. */
public enum PauseReason {
    OPERATOR("OPERATOR"),
    /** A node that is to take a slice started lately. */
    TARGET_WARMING_UP("TARGET_COLD"),
    /** A slice has one ready holder left. */
    TOO_FEW_READY_REPLICAS("SHARD_THIN"),
    /** The member's utility fell. */
    UTILITY_DROPPED("UTILITY_FELL"),
    /** A copy, or an answer about one, takes too long. */
    STALLED("STARVED"),
    /** The two sides differ. */
    DIGEST_MISMATCH("DIFFERS"),
    /** A move was abandoned, or can't be planned. */
    MOVE_FAILED("MOVE_FAILED");

    private final String wireName;

    PauseReason(String wireName) {
        this.wireName = wireName;
    }

    /** Its name in texts for operators; does not change when a constant is renamed. */
    public String wireName() {
        return wireName;
    }
}
