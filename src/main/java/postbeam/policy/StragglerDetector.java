package postbeam.policy;

import static postbeam.model.Durations.max;
import static postbeam.model.Durations.scale;

import java.time.Duration;
import postbeam.model.Attempt;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.ShardRequest;

/** Tells attempts that are probably lost from those that only wait their turn at a slow node. */
final class StragglerDetector {
    /** Shares of the latency objective between which an attempt becomes overdue. */
    private static final double OVERDUE_MIN_SHARE = 0.45;

    private static final double OVERDUE_MAX_SHARE = 0.6;

    private final AttemptLimits limits;
    private final LatencyEstimator latencies;
    private final OutlierEjection ejection;

    StragglerDetector(AttemptLimits limits, LatencyEstimator latencies, OutlierEjection ejection) {
        this.limits = limits;
        this.latencies = latencies;
        this.ejection = ejection;
    }

    /** How long after it was sent an attempt is overdue. */
    Duration overdueAfter(Duration now, QueryClass queryClass) {
        Duration usual =
                latencies.usualLatency(now, queryClass, CompletionForecast.SLOWEST_REQUEST_FACTOR);
        Duration longest = scale(queryClass.latencyObjective, OVERDUE_MAX_SHARE);
        if (usual.compareTo(longest) > 0) {
            // A cancelled attempt has waited for nothing; a hedged one has not.
            return limits.hedgingAllowed() ? longest : queryClass.latencyObjective;
        }
        return max(usual, scale(queryClass.latencyObjective, OVERDUE_MIN_SHARE));
    }

    /**
     * Overdue, and its node has answered nothing for as long; at once where the node is ejected.
     */
    boolean isUnresponsive(Duration now, Attempt attempt) {
        Duration since = now.minus(overdueAfter(now, attempt.shardRequest.queryClass));
        return ejection.isEjected(attempt.node)
                || (since.compareTo(attempt.sentAt) > 0
                        && !NodeState.of(attempt.node).latency.hasAnsweredSince(since));
    }

    /** Unresponsive, or overdue and overtaken: its node has answered an attempt sent later. */
    boolean isLost(Duration now, Attempt attempt) {
        Duration since = now.minus(overdueAfter(now, attempt.shardRequest.queryClass));
        return isUnresponsive(now, attempt)
                || (since.compareTo(attempt.sentAt) > 0
                        && NodeState.of(attempt.node)
                                .latency
                                .hasAnsweredAttemptSentAfter(attempt.sentAt));
    }

    /** Whether an answer to the unanswered request can be expected from what is in flight. */
    boolean isExpected(Duration now, ShardRequest request) {
        for (Attempt attempt : request.attemptsInFlight) {
            if (!attempt.isCancellationRequested() && !isLost(now, attempt)) {
                return !request.isAnswered();
            }
        }
        return false;
    }

    /** Requests whose answers can be expected from what is in flight (the paper's delta). */
    int expectedAnswers(Duration now, Query query) {
        return query.countRequests(request -> isExpected(now, request));
    }

    /** Requests in flight whose attempts are all cancelled or lost. */
    int lostRequests(Duration now, Query query) {
        return query.countRequests(
                request -> !request.attemptsInFlight.isEmpty() && !isExpected(now, request));
    }
}
