package postbeam.policy;

import static postbeam.model.Durations.scale;
import static postbeam.model.Durations.seconds;
import static postbeam.policy.PolicyTiming.FINAL_ANSWER_MARGIN;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.ShardRequest;
import postbeam.model.SideEffects;

/** The open queries, and when each is answered, rejected or aborted. */
final class QueryCompletion {
    /** Weights of requests add up to 1 but for rounding. */
    private static final double ROUNDING = 0.00005;

    /** Share of the latency objective within which a query is begun, or else rejected. */
    private static final double START_SHARE = 0.4;

    /** The same for a query of low priority. */
    private static final double LOW_PRIORITY_START_SHARE = 0.1;

    /**
     * Share of the objective past its end after which a late query of a crowded router is given up.
     */
    private static final double MAX_LATENESS_SHARE = 0.5;

    private final PolicyActions actions;
    private final AdmissionControl admission;
    private final CompletionForecast forecast;
    private final QueryPriority priority;
    private final RetryPolicy retries;
    private final AttemptCanceller canceller;
    private final List<Query> openQueries = new ArrayList<>();
    private final List<Query> openView = Collections.unmodifiableList(openQueries);

    QueryCompletion(
            PolicyActions actions,
            AdmissionControl admission,
            CompletionForecast forecast,
            QueryPriority priority,
            RetryPolicy retries,
            AttemptCanceller canceller) {
        this.actions = actions;
        this.admission = admission;
        this.forecast = forecast;
        this.priority = priority;
        this.retries = retries;
        this.canceller = canceller;
    }

    /** The queries without a final answer, the oldest first; a view that can't be changed. */
    List<Query> open() {
        return openView;
    }

    void onQuery(Query query) {
        openQueries.add(query);
    }

    /** Ends a query that gets no answer any more. */
    void end(Query query) {
        query.end();
        openQueries.remove(query);
        admission.update(openQueries);
        query.shardRequests.forEach(canceller::cancelAttempts);
    }

    /** Answers the open queries that are complete, and gives up those that can't be in time. */
    void review(Duration now) {
        admission.update(openQueries);
        for (Query query : List.copyOf(openQueries)) {
            review(now, query);
        }
    }

    private void review(Duration now, Query query) {
        double answered = query.answeredWeight();
        double possible =
                query.weightOf(
                        request ->
                                request.isAnswered()
                                        || !request.attemptsInFlight.isEmpty()
                                        || retries.mayAttemptLater(now, request));
        // A second step's requests come a batch of events after the first step is answered.
        boolean requestsKnown = !query.shardRequests.isEmpty();
        if (requestsKnown && reaches(answered, query.queryClass().requiredWeight)) {
            answerComplete(query);
        } else if (query.deadline.minus(now).compareTo(FINAL_ANSWER_MARGIN) <= 0
                || query.isPoisoned()
                || isPartialBest(now, query, answered)
                || (requestsKnown && isOutOfReach(query.queryClass(), answered, possible))
                || isLateForGood(now, query)
                || (query.hasNotStarted() && mayNoLongerStart(now, query))) {
            giveUp(query);
        }
    }

    private static boolean reaches(double weight, double needed) {
        return weight + ROUNDING >= needed;
    }

    /**
     * Whether a complete answer is impossible, and nothing better than what is in can still come.
     */
    private static boolean isOutOfReach(QueryClass queryClass, double answered, double possible) {
        return !reaches(possible, queryClass.requiredWeight)
                && (reaches(answered, possible) || !reaches(possible, queryClass.minimumWeight));
    }

    /**
     * Whether the objective is about to pass, and what is in is worth more now than all after it.
     */
    private static boolean isPartialBest(Duration now, Query query, double answered) {
        QueryClass queryClass = query.queryClass();
        return queryClass.secondStep == null
                && queryClass.minimumWeight < queryClass.requiredWeight
                && reaches(answered, queryClass.minimumWeight)
                && queryClass.partialUtility * answered / queryClass.requiredWeight
                        > queryClass.lateUtility
                && now.plus(FINAL_ANSWER_MARGIN).compareTo(query.sloDeadline()) >= 0;
    }

    /** What is only late may still come: throwing it away would feed an overload. */
    private boolean isLateForGood(Duration now, Query query) {
        return forecast.isTooLate(now, query, 1)
                && (query.queryClass().lateUtility == 0
                        || (admission.isCrowded()
                                && (query.requestsNeeded() > query.requestsInFlight()
                                        || isFarPastObjective(now, query))));
    }

    private static boolean isFarPastObjective(Duration now, Query query) {
        Duration limit = scale(query.queryClass().latencyObjective, MAX_LATENESS_SHARE);
        return now.minus(query.sloDeadline()).compareTo(limit) > 0;
    }

    /**
     * Guards against overload of any cause: what can't begin soon is told while its client can act.
     */
    private boolean mayNoLongerStart(Duration now, Query query) {
        double waited =
                seconds(now.minus(query.arrivedAt)) / seconds(query.queryClass().latencyObjective);
        return forecast.isHopeless(now, query)
                || waited > START_SHARE
                || (waited > LOW_PRIORITY_START_SHARE && priority.isLow(now, query));
    }

    /** The answer to all that was asked so far: the final one, or what brings the second step. */
    private void answerComplete(Query query) {
        if (query.queryClass().secondStep == null) {
            end(query);
        } else {
            query.shardRequests.forEach(canceller::cancelAttempts);
            query.beginSecondStep();
        }
        actions.answer(query, true);
    }

    /** The final answer at once: from what is in where that is enough, else rejected or aborted. */
    private void giveUp(Query query) {
        QueryClass queryClass = query.queryClass();
        double answered = query.answeredWeight();
        boolean harmless = isRetryHarmless(query);
        end(query);
        if (answered > 0
                && reaches(answered, queryClass.minimumWeight)
                && queryClass.secondStep == null) {
            actions.answer(query, false);
        } else if (harmless) {
            actions.reject(query, admission.retryAfter());
        } else {
            actions.abort(query);
        }
    }

    /** Whether a retry by the client executes nothing twice that has side effects. */
    private static boolean isRetryHarmless(Query query) {
        return query.queryClass().sideEffects == SideEffects.IDEMPOTENT
                || (query.firstStepRequests.isEmpty()
                        && query.countRequests(QueryCompletion::mayBeExecuted) == 0);
    }

    private static boolean mayBeExecuted(ShardRequest request) {
        return request.mayHaveExecutedSince() != null || !request.attemptsInFlight.isEmpty();
    }
}
