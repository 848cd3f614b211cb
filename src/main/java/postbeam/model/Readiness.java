package postbeam.model;

/** State of a data node in the endpoint list. */
public enum Readiness {
    /** The node accepts requests. */
    READY,
    /** The node completes the requests that it has and accepts no new ones. */
    DRAINING,
    /** The node is no longer in the endpoint list. */
    REMOVED
}
