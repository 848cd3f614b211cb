package postbeam.policy;

import java.util.List;
import postbeam.model.Query;
import postbeam.model.ShardRequest;
import postbeam.model.SideEffects;

/**
 * Decides on redundant requests. These are hedged attempts of an idempotent request whose first
 * attempt is probably lost, and spare requests: requests beyond the number needed, of a query that
 * is complete with a subset of its requests.
 */
final class HedgingPolicy {
    /** Maximum number of attempts in flight for one shard request. */
    private static final int MAX_PARALLEL_ATTEMPTS = 2;

    /** Maximum number of spare requests, as a fraction of the attempts in flight. */
    private static final double MAX_SPARE_SHARE = 0.1;

    private final AttemptLimits limits;
    private final ConcurrencyWindow window;
    private int sparesInFlight;

    HedgingPolicy(AttemptLimits limits, ConcurrencyWindow window) {
        this.limits = limits;
        this.window = window;
    }

    /** Returns whether the request may have a further attempt in addition to those in flight. */
    boolean mayHedge(ShardRequest request) {
        return limits.hedgingAllowed()
                && request.query.queryClass().sideEffects == SideEffects.IDEMPOTENT
                && request.attemptsInFlight.size() < MAX_PARALLEL_ATTEMPTS;
    }

    /** Counts the spare requests in flight: those beyond what their queries still need. */
    void countSpares(List<Query> openQueries) {
        sparesInFlight = 0;
        for (Query query : openQueries) {
            sparesInFlight += Math.max(0, query.requestsInFlight() - query.requestsNeeded());
        }
    }

    /**
     * Returns whether the query may send a spare request. If the window is narrow, a spare request
     * would only lengthen the queues of data nodes.
     */
    boolean maySendSpare(Query query) {
        return query.queryClass().acceptsSubset()
                && !window.isNarrow()
                && sparesInFlight + 1 <= MAX_SPARE_SHARE * (window.inFlight() + 1);
    }

    void recordSpare() {
        sparesInFlight++;
    }
}
