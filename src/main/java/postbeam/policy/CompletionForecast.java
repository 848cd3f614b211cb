package postbeam.policy;

import static postbeam.model.Durations.min;

import java.time.Duration;
import postbeam.model.Query;
import postbeam.model.QueryClass;

/** What the usual latency says about when a query can be complete. */
final class CompletionForecast {
    /** Times the usual latency that the slowest of many requests takes without being unlucky. */
    static final double SLOWEST_REQUEST_FACTOR = 2.5;

    private final LatencyEstimator latencies;
    private final ConcurrencyWindow window;

    CompletionForecast(LatencyEstimator latencies, ConcurrencyWindow window) {
        this.latencies = latencies;
        this.window = window;
    }

    /** Its objective is over, or so many usual latencies for what is unsent last past its end. */
    boolean isTooLate(Duration now, Query query, double rounds) {
        QueryClass queryClass = query.queryClass();
        Duration done =
                query.requestsNeeded() > query.requestsInFlight()
                        ? now.plus(latencies.usualLatency(now, queryClass, rounds))
                        : now;
        if (queryClass.secondStep != null) {
            done = done.plus(latencies.usualLatency(now, queryClass.secondStep, 1));
        }
        return done.compareTo(query.sloDeadline()) >= 0;
    }

    /** The same, in as many rounds as the window as it is takes for what is needed. */
    boolean isTooLateInWindow(Duration now, Query query) {
        return isTooLate(now, query, 1 + query.requestsNeeded() / window.size());
    }

    /**
     * Guards against beginning what the usual latency brings past its client's limit or objective,
     * over and over. While nothing else is in flight it is tried: what was learnt may be out of
     * date.
     */
    boolean isHopeless(Duration now, Query query) {
        QueryClass queryClass = query.queryClass();
        double factor = slowestFactor(query);
        Duration clientLimit = query.deadline.minus(PolicyTiming.FINAL_ANSWER_MARGIN);
        Duration left = min(query.sloDeadline(), clientLimit).minus(now);
        if (queryClass.secondStep != null) {
            left = left.minus(latencies.usualLatency(now, queryClass.secondStep, factor));
        }
        return window.inFlight() > 0
                && latencies.hasLearntBaseline(queryClass)
                && left.compareTo(latencies.usualLatency(now, queryClass, factor)) < 0;
    }

    /**
     * Times the usual latency that the query takes: its slowest request, or rounds in the window.
     */
    private double slowestFactor(Query query) {
        int requests = query.shardRequests.size();
        if (query.queryClass().acceptsSubset() || requests == 1) {
            return 1;
        }
        return Math.max(
                SLOWEST_REQUEST_FACTOR,
                query.queryClass().minimumWeight * requests / window.size());
    }
}
