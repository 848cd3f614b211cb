package postbeam.model;

/** What a second run of a part does. */
public enum SideEffects {
    IDEMPOTENT,
    DEDUPLICATED,
    NON_IDEMPOTENT
}
