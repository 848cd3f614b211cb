package postbeam.model;

/** An availability zone of data nodes, as one router sees it; zones are compared by identity. */
public final class Zone {
    /** Whether it is the router's own zone. */
    public final boolean local;

    /** Creates the router's own zone, or another one. */
    public Zone(boolean local) {
        this.local = local;
    }
}
