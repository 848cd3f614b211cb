package postbeam.migration;

/** Why a migration is paused. */
public enum PauseReason {
    /** An operator paused it. */
    OPERATOR("OPERATOR"),
    /** A target started less than the warm-up period ago. */
    TARGET_WARMING_UP("TARGET_COLD"),
    /** A slice with several holders has fewer than two that are ready. */
    TOO_FEW_READY_REPLICAS("SHARD_THIN"),
    /** The member's utility fell below the minimum ratio of its initial utility. */
    UTILITY_DROPPED("UTILITY_FELL"),
    /** A copy, a comparison or a size request made no progress within the stall timeout. */
    STALLED("STARVED"),
    /** The replicas of a slice at source and target differ. */
    DIGEST_MISMATCH("DIFFERS"),
    /** A move was abandoned, or can't be planned. */
    MOVE_FAILED("MOVE_FAILED");

    private final String wireName;

    PauseReason(String wireName) {
        this.wireName = wireName;
    }

    /** The name in texts for operators, which stays the same when a constant is renamed. */
    public String wireName() {
        return wireName;
    }
}
