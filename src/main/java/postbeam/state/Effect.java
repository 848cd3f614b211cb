package postbeam.state;

/** What a second run of a part does. */
public enum Effect {
    REPEATABLE,
    DEDUPLICATED,
    SIDE_EFFECTING
}
