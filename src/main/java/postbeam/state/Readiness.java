package postbeam.state;

/** What the host list says of a data node. */
public enum Readiness {
    READY,
    DRAINING,
    GONE
}
