package postbeam.state;

import java.time.Duration;

/** How a node, or all of a zone, lately answered this router. */
public class Health {
    /** What came of its calls lately; set up by the one who measures. */
    public TimeRing answers;

    public TimeRing failures;

    /** Left alone at least until this time while another will do; null: no reason. */
    public Duration avoidUntil;

    /** Failures in a row that led to leaving it alone. */
    public int strikes;

    /** Sets up what it is measured by, unless that is done. */
    public void measure(Duration span, int buckets) {
        if (answers == null) {
            answers = new TimeRing(span, buckets);
            failures = new TimeRing(span, buckets);
        }
    }
}
