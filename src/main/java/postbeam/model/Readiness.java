package postbeam.model;

/** State of a data node in the endpoint list. */
public enum Readiness {
    /** It accepts requests. */
    READY,
    /** It finishes its requests and accepts no new ones. */
    DRAINING,
    /** It is no longer listed. */
    REMOVED
}
