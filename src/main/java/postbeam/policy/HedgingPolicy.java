package postbeam.policy;

import java.util.List;
import postbeam.model.Query;
import postbeam.model.ShardRequest;
import postbeam.model.SideEffects;

/**
 * Decides on redundant requests: a hedged attempt of an idempotent request whose first attempt is
 * probably lost, and spare requests of a query that a subset of its requests completes.
 */
final class HedgingPolicy {
    /** Maximum number of attempts of one request in flight. */
    private static final int MAX_PARALLEL_ATTEMPTS = 2;

    /** Maximum fraction of spares among the attempts in flight. */
    private static final double MAX_SPARE_SHARE = 0.1;

    private final AttemptLimits limits;
    private final ConcurrencyWindow window;
    private int sparesInFlight;

    HedgingPolicy(AttemptLimits limits, ConcurrencyWindow window) {
        this.limits = limits;
        this.window = window;
    }

    /** Whether the request may have a further attempt in addition to those in flight. */
    boolean mayHedge(ShardRequest request) {
        return limits.hedgingAllowed()
                && request.query.queryClass().sideEffects == SideEffects.IDEMPOTENT
                && request.attemptsInFlight.size() < MAX_PARALLEL_ATTEMPTS;
    }

    /** Counts the spares in flight: requests beyond what their queries still need. */
    void countSpares(List<Query> openQueries) {
        sparesInFlight = 0;
        for (Query query : openQueries) {
            sparesInFlight += Math.max(0, query.requestsInFlight() - query.requestsNeeded());
        }
    }

    /**
     * Whether the query may send a spare. In a narrow window a spare would only increase queueing.
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
