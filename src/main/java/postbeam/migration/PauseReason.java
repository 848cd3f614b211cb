package postbeam.migration;

/** Why a migration is paused. */
public enum PauseReason {
    /** An operator paused it. */
    OPERATOR("OPERATOR"),
    /** A target started a short while ago. */
    TARGET_WARMING_UP("TARGET_COLD"),
    /** A slice has at most one ready holder. */
    TOO_FEW_READY_REPLICAS("SHARD_THIN"),
    /** The member's utility fell below the limit. */
    UTILITY_DROPPED("UTILITY_FELL"),
    /** A copy, or an answer about one, takes too long. */
    STALLED("STARVED"),
    /** The two replicas of a slice differ. */
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
