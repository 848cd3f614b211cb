package postbeam.model;

/** Effect of executing a shard request more than once. */
public enum SideEffects {
    /** None: it may be sent any number of times. */
    IDEMPOTENT,
    /** Nodes drop duplicates within the class's deduplication window. */
    DEDUPLICATED,
    /** It takes effect each time: it must not be sent again if it may have been executed. */
    NON_IDEMPOTENT
}
