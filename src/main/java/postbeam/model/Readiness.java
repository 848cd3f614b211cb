package postbeam.model;

/** What the host list says of a data node. */
public enum Readiness {
    READY,
    DRAINING,
    REMOVED
}
