package postbeam.model;

/** An availability zone of data nodes. Zones are compared by identity. */
public final class Zone {
    /** Whether this is the zone of the router itself. */
    public final boolean local;

    /** Creates a zone; {@code local} if it is the zone of the router itself. */
    public Zone(boolean local) {
        this.local = local;
    }
}
