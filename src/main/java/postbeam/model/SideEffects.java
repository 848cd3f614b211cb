package postbeam.model;

/** What a second execution of a shard request does. */
public enum SideEffects {
    /** Nothing that the first has not done: it may be sent again at any time. */
    IDEMPOTENT,
    /** Nodes drop a second one that comes within the class's deduplication window. */
    DEDUPLICATED,
    /** It takes effect twice: it may not be sent again once it may have been executed. */
    NON_IDEMPOTENT
}
