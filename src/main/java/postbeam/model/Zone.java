package postbeam.model;

/** A location of data nodes as this router meets it. */
public final class Zone extends HealthState {
    /** This router's own. */
    public final boolean local;

    /** The one call that shows whether it is sound again. */
    public Attempt trialAttempt;

    public Zone(boolean ours) {
        this.local = ours;
    }
}
