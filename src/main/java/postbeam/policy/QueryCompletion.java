package postbeam.policy;

import static postbeam.model.Durations.scale;
import static postbeam.model.Durations.seconds;
import static postbeam.policy.PolicyTiming.FINAL_ANSWER_MARGIN;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Predicate;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.ShardRequest;
import postbeam.model.SideEffects;

/** Holds the open queries and decides when each of them is answered, rejected or aborted. */
final class QueryCompletion {
    /** Fraction of the latency objective after which a query that has not started is rejected. */
    private static final double START_SHARE = 0.4;

    /**
     * Fraction of the latency objective after which a low-priority query that has not started is
     * rejected.
     */
    private static final double LOW_PRIORITY_START_SHARE = 0.1;

    /**
     * Lateness, as a fraction of the latency objective, after which a router near its capacity ends
     * a query.
     */
    private static final double MAX_LATENESS_SHARE = 0.5;

    private final PolicyActions actions;
    private final AdmissionControl admission;
    private final CompletionForecast forecast;
    private final QueryPriority priority;
    private final RetryPolicy retries;
    private final AttemptCanceller canceller;
    private final List<Query> openQueries = new ArrayList<>();
    private final List<Query> openQueriesView = Collections.unmodifiableList(openQueries);

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

    /** Returns the queries without a final answer in order of arrival, as an unmodifiable view. */
    List<Query> openQueries() {
        return openQueriesView;
    }

    void onQuery(Query query) {
        openQueries.add(query);
    }

    /**
     * Ends a query and cancels its attempts. The caller sends the final answer, if there is one.
     */
    void end(Query query) {
        query.end();
        openQueries.remove(query);
        admission.updateLoad(openQueries);
        query.shardRequests.forEach(canceller::cancelAttempts);
    }

    /**
     * Answers the open queries that are complete, and ends those that can't be complete in time.
     */
    void review(Duration now) {
        admission.updateLoad(openQueries);
        for (Query query : List.copyOf(openQueries)) {
            review(now, query);
        }
    }

    private void review(Duration now, Query query) {
        // The requests of a second step arrive only after the first step has been answered.
        boolean requestsKnown = !query.shardRequests.isEmpty();
        if (requestsKnown && isAnswered(query, query.queryClass().requiredWeight)) {
            answerComplete(query);
        } else if (query.deadline.minus(now).compareTo(FINAL_ANSWER_MARGIN) <= 0
                || query.isPoisoned()
                || isPartialAnswerBest(now, query)
                || (requestsKnown && isWaitingPointless(now, query))
                || shouldDropLateQuery(now, query)
                || (query.hasNotStarted() && isStartOverdue(now, query))) {
            endUnfinished(query);
        }
    }

    /** Returns whether requests that make up this share of the query's weight are answered. */
    private static boolean isAnswered(Query query, double share) {
        return query.isCoveredBy(ShardRequest::isAnswered, share);
    }

    /**
     * Returns whether a complete answer is impossible and waiting longer can't improve the answer.
     */
    private boolean isWaitingPointless(Duration now, Query query) {
        QueryClass queryClass = query.queryClass();
        Predicate<ShardRequest> answerable = request -> isAnswerable(now, request);
        if (query.isCoveredBy(answerable, queryClass.requiredWeight)) {
            return false;
        }
        return query.weightOf(answerable) <= query.answeredWeight()
                || !query.isCoveredBy(answerable, queryClass.minimumWeight);
    }

    private boolean isAnswerable(Duration now, ShardRequest request) {
        return request.isAnswered()
                || !request.attemptsInFlight.isEmpty()
                || retries.mayAttemptLater(now, request);
    }

    /**
     * Returns whether the latency objective is about to pass and a partial answer now has a higher
     * utility than a late complete one.
     */
    private static boolean isPartialAnswerBest(Duration now, Query query) {
        QueryClass queryClass = query.queryClass();
        return queryClass.secondStep == null
                && queryClass.minimumWeight < queryClass.requiredWeight
                && now.plus(FINAL_ANSWER_MARGIN).compareTo(query.sloDeadline()) >= 0
                && isAnswered(query, queryClass.minimumWeight)
                && queryClass.partialUtility * answeredShare(query) / queryClass.requiredWeight
                        > queryClass.lateUtility;
    }

    private static double answeredShare(Query query) {
        return query.answeredWeight() / query.totalWeight();
    }

    /**
     * Returns whether a query that will be late should be ended. It is ended if late answers have
     * no utility, or if the router is near its capacity and the query has unsent requests or is far
     * past its objective. Otherwise it is kept, as ending it would waste the processing of its
     * attempts in flight.
     */
    private boolean shouldDropLateQuery(Duration now, Query query) {
        return forecast.isTooLate(now, query, 1)
                && (query.queryClass().lateUtility == 0
                        || (admission.isNearCapacity()
                                && (query.requestsNeeded() > query.requestsInFlight()
                                        || isFarPastObjective(now, query))));
    }

    private static boolean isFarPastObjective(Duration now, Query query) {
        Duration limit = scale(query.queryClass().latencyObjective, MAX_LATENESS_SHARE);
        return now.minus(query.sloDeadline()).compareTo(limit) > 0;
    }

    /**
     * Returns whether a query that has not started should be rejected now, so that its client has
     * time to retry elsewhere.
     */
    private boolean isStartOverdue(Duration now, Query query) {
        double waited =
                seconds(now.minus(query.arrivedAt)) / seconds(query.queryClass().latencyObjective);
        return forecast.cannotFinishInTime(now, query)
                || waited > START_SHARE
                || (waited > LOW_PRIORITY_START_SHARE && priority.isLow(now, query));
    }

    /**
     * Answers the current step of the query. This is the final answer unless the class has a second
     * step, for which the client sends further requests.
     */
    private void answerComplete(Query query) {
        if (query.queryClass().secondStep == null) {
            end(query);
        } else {
            query.shardRequests.forEach(canceller::cancelAttempts);
            query.beginSecondStep();
        }
        actions.answer(query, true);
    }

    /**
     * Ends the query with a partial answer if its class allows one, otherwise with a rejection or
     * an abort.
     */
    private void endUnfinished(Query query) {
        QueryClass queryClass = query.queryClass();
        boolean retryHarmless = isRetryHarmless(query);
        end(query);
        if (query.answeredWeight() > 0
                && isAnswered(query, queryClass.minimumWeight)
                && queryClass.secondStep == null) {
            actions.answer(query, false);
        } else if (retryHarmless) {
            actions.reject(query, admission.retryAfter());
        } else {
            actions.abort(query);
        }
    }

    /** Returns whether a retry by the client can't execute side effects twice. */
    private static boolean isRetryHarmless(Query query) {
        return query.queryClass().sideEffects == SideEffects.IDEMPOTENT
                || (query.firstStepRequests.isEmpty()
                        && query.countRequests(QueryCompletion::mayHaveExecuted) == 0);
    }

    private static boolean mayHaveExecuted(ShardRequest request) {
        return request.mayHaveExecutedSince() != null || !request.attemptsInFlight.isEmpty();
    }
}
