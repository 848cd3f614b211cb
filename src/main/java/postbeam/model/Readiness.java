package postbeam.model;

/** What the endpoint list says of a data node. */
public enum Readiness {
    /** It takes requests. */
    READY,
    /** It finishes what it has, and takes no new requests. */
    DRAINING,
    /** It is no longer listed. */
    REMOVED
}
