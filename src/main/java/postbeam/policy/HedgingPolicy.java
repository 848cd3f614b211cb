package postbeam.policy;

import java.util.List;
import postbeam.model.Query;
import postbeam.model.ShardRequest;
import postbeam.model.SideEffects;

/**
 * When more is sent than a query needs: a second attempt of an idempotent request beside one that
 * is probably lost, and spare requests of a query that a subset of its requests completes.
 */
final class HedgingPolicy {
    /** Attempts of one request that may be in flight together. */
    private static final int MAX_PARALLEL_ATTEMPTS = 2;

    /** Share of the attempts in flight that may be spares. */
    private static final double SPARE_SHARE = 0.1;

    private final AttemptLimits limits;
    private final ConcurrencyWindow window;
    private int spares;

    HedgingPolicy(AttemptLimits limits, ConcurrencyWindow window) {
        this.limits = limits;
        this.window = window;
    }

    /** Whether the request may get a further attempt beside what is in flight. */
    boolean mayHedge(ShardRequest request) {
        return limits.hedgingAllowed()
                && request.query.queryClass().sideEffects == SideEffects.IDEMPOTENT
                && request.attemptsInFlight.size() < MAX_PARALLEL_ATTEMPTS;
    }

    /** Counts the spares in flight: requests beyond what their queries still need. */
    void countSpares(List<Query> open) {
        spares = 0;
        for (Query query : open) {
            spares += Math.max(0, query.requestsInFlight() - query.requestsNeeded());
        }
    }

    /** Whether the query may be sent a spare; in a narrow window that lengthens the wait. */
    boolean maySendSpare(Query query) {
        return query.queryClass().acceptsSubset()
                && !window.isNarrow()
                && spares + 1 <= SPARE_SHARE * (window.inFlight() + 1);
    }

    void recordSpare() {
        spares++;
    }
}
