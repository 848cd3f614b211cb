package postbeam.model;

/** An availability zone of data nodes. Zones are compared by identity. */
public final class Zone {
    /** Whether it is the router's own zone. */
    public final boolean local;

    /** Creates a zone; {@code local} for the router's own. */
    public Zone(boolean local) {
        this.local = local;
    }
}
