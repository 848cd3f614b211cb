package postbeam.model;

/** Effect of executing a shard request more than once. */
public enum SideEffects {
    /** No effect: the request may be sent any number of times. */
    IDEMPOTENT,
    /** Data nodes drop duplicates within the deduplication window of the query class. */
    DEDUPLICATED,
    /**
     * Each execution takes effect, so that a request that may have been executed must not be sent
     * again.
     */
    NON_IDEMPOTENT
}
