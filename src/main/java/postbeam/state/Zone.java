package postbeam.state;

import java.time.Duration;

/** A location of data nodes as this router meets it. */
public final class Zone {
    /** This router's own. */
    public final boolean ours;
    /** Its calls lately, each node once a while, and those of them that failed; set up by the one who measures. */
    public TimeRing calls;
    public TimeRing failures;
    /** Left alone at least until this time while another will do; null: no reason. */
    public Duration avoidUntil;
    /** Times in a row that it was left alone. */
    public int strikes;
    /** The one call that shows whether it is sound again. */
    public LeafCall trial;

    public Zone(boolean ours) {
        this.ours = ours;
    }
}
