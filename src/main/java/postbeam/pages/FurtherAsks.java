package postbeam.pages;

import java.time.Duration;
import postbeam.state.TimeRing;

/**
 * How many queries that ask again, and parts of them, may begin in a window of rule 6. They count
 * as taken where the rule is held, and would widen the budget that they eat from: so many are taken
 * off it beforehand. Its own lock.
 */
public final class FurtherAsks {
    /** Of the free part of rule 6's budget, what is set aside for that at the most. */
    private static final double FREE_SHARE = 0.5;

    /** Buckets of the window: what shares one with its start counts as within it. */
    private static final int BUCKETS = 20;

    private final int most;
    private final double share;
    private final Duration span;
    private final TimeRing begun;

    /**
     * By the budget: so many free and such a share in such a window; a window of null states none.
     */
    public FurtherAsks(double free, double share, Duration span) {
        this.span = span;
        this.share = share;
        this.most =
                span == null || share <= 0 ? Integer.MAX_VALUE : (int) (FREE_SHARE * free / share);
        this.begun = new TimeRing(span == null ? Duration.ofSeconds(1) : span, BUCKETS);
    }

    /** What is to be taken off the free part of the budget. */
    public double reserve() {
        return most == Integer.MAX_VALUE ? 0 : most * share;
    }

    /** Whether a query with so many parts that ask again may begin now; it is counted then. */
    public synchronized boolean begins(Duration now, int parts) {
        if (span != null && begun.atLeast(now, span) + 1 + parts > most) {
            return false;
        }
        begun.add(now, 1 + parts);
        return true;
    }
}
