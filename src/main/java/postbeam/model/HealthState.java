package postbeam.model;

import java.time.Duration;

/** How a node, or all of a zone, lately answered this router. */
public class HealthState {
    /** What came of its calls lately; set up by the one who measures. */
    public SlidingWindowCounter recentSuccesses;

    public SlidingWindowCounter recentFailures;

    /** Left alone at least until this time while another will do; null: no reason. */
    public Duration ejectedUntil;

    /** Failures in a row that led to leaving it alone. */
    public int ejectionCount;

    /** Sets up what it is measured by, unless that is done. */
    public void startMeasuring(Duration span, int buckets) {
        if (recentSuccesses == null) {
            recentSuccesses = new SlidingWindowCounter(span, buckets);
            recentFailures = new SlidingWindowCounter(span, buckets);
        }
    }
}
