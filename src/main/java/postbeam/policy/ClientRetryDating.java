package postbeam.policy;

import static postbeam.model.Durations.scale;
import static postbeam.policy.PolicyTiming.FINAL_ANSWER_MARGIN;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import postbeam.model.Query;
import postbeam.model.QueryClass;

/**
 * Dates clients' retries back to their first request, from which the latency objective counts.
 * Guards against work for retries whose objective is over or nearly so: one that may wait less than
 * a first request has what is left of its client's whole time. It could hurt where clients give
 * their retries less time for reasons of their own.
 */
final class ClientRetryDating {
    /** Weight of a new sample of what clients wait, where it is longer than before. */
    private static final double SMOOTHING = 0.25;

    /** What clients wait at their first request, by class. */
    private final Map<QueryClass, Duration> firstRequestTimeouts = new HashMap<>();

    void onQuery(Duration now, Query query) {
        QueryClass queryClass = query.queryClass();
        Duration timeout = query.deadline.minus(now);
        Duration usual = firstRequestTimeouts.get(queryClass);
        if (!query.isClientRetry()) {
            firstRequestTimeouts.put(queryClass, updated(usual, timeout));
        } else if (queryClass.totalClientTimeout != null
                && usual != null
                && timeout.plus(FINAL_ANSWER_MARGIN).compareTo(usual) < 0) {
            query.backdateTo(query.deadline.minus(queryClass.totalClientTimeout));
        }
    }

    private static Duration updated(Duration usual, Duration sample) {
        return usual == null || sample.compareTo(usual) < 0
                ? sample
                : usual.plus(scale(sample.minus(usual), SMOOTHING));
    }
}
