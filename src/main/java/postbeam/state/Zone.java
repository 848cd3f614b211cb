package postbeam.state;

/** A location of data nodes as this router meets it. */
public final class Zone extends Health {
    /** This router's own. */
    public final boolean ours;

    /** The one call that shows whether it is sound again. */
    public LeafCall trial;

    public Zone(boolean ours) {
        this.ours = ours;
    }
}
