package postbeam.policy;

import static postbeam.model.Durations.max;
import static postbeam.model.Durations.scale;

import java.time.Duration;
import postbeam.model.Attempt;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.ShardRequest;

/** Distinguishes attempts that are probably lost from attempts that are queued at a slow node. */
final class StragglerDetector {
    /** Minimum time until an attempt is overdue, as a fraction of the latency objective. */
    private static final double OVERDUE_MIN_SHARE = 0.45;

    /**
     * Maximum time until an attempt is overdue if hedging is allowed, as a fraction of the latency
     * objective.
     */
    private static final double OVERDUE_MAX_SHARE = 0.6;

    private final AttemptLimits limits;
    private final LatencyEstimator latencies;
    private final OutlierEjection ejection;

    StragglerDetector(AttemptLimits limits, LatencyEstimator latencies, OutlierEjection ejection) {
        this.limits = limits;
        this.latencies = latencies;
        this.ejection = ejection;
    }

    /** Returns how long after its sending an attempt becomes overdue. */
    Duration overdueAfter(Duration now, QueryClass queryClass) {
        Duration slowest =
                latencies.typicalLatency(
                        now, queryClass, CompletionForecast.SLOWEST_REQUEST_FACTOR);
        Duration longest = scale(queryClass.latencyObjective, OVERDUE_MAX_SHARE);
        if (slowest.compareTo(longest) > 0) {
            // A cancelled attempt loses the time that it has spent in the queue of its node; a
            // hedged one does not.
            return limits.hedgingAllowed() ? longest : queryClass.latencyObjective;
        }
        return max(slowest, scale(queryClass.latencyObjective, OVERDUE_MIN_SHARE));
    }

    /**
     * Returns whether the node of the attempt is ejected, or the attempt is overdue and its node
     * has answered nothing within the last {@link #overdueAfter}.
     */
    boolean isUnresponsive(Duration now, Attempt attempt) {
        Duration since = now.minus(overdueAfter(now, attempt.shardRequest.queryClass));
        return ejection.isEjected(attempt.node)
                || (since.compareTo(attempt.sentAt) > 0
                        && !NodeState.of(attempt.node).latency.hasAnsweredAtOrAfter(since));
    }

    /**
     * Returns whether the attempt is unresponsive, or overdue while its node has answered a later
     * attempt.
     */
    boolean isLost(Duration now, Attempt attempt) {
        Duration since = now.minus(overdueAfter(now, attempt.shardRequest.queryClass));
        return isUnresponsive(now, attempt)
                || (since.compareTo(attempt.sentAt) > 0
                        && NodeState.of(attempt.node)
                                .latency
                                .hasAnsweredAttemptSentAfter(attempt.sentAt));
    }

    /**
     * Returns whether the request is unanswered and an answer can be expected from its attempts in
     * flight.
     */
    boolean isAnswerExpected(Duration now, ShardRequest request) {
        for (Attempt attempt : request.attemptsInFlight) {
            if (!attempt.isCancellationRequested() && !isLost(now, attempt)) {
                return !request.isAnswered();
            }
        }
        return false;
    }

    /**
     * Returns the number of requests whose answers can be expected (delta in the SEDPT-R paper).
     */
    int expectedAnswers(Duration now, Query query) {
        return query.countRequests(request -> isAnswerExpected(now, request));
    }

    /** Returns the number of requests in flight whose attempts are all cancelled or lost. */
    int lostRequests(Duration now, Query query) {
        return query.countRequests(
                request -> !request.attemptsInFlight.isEmpty() && !isAnswerExpected(now, request));
    }
}
