package postbeam.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.function.Predicate;

/** A query that this router has accepted, with its shard requests and its progress. */
public final class Query {
    /** Tenant of the query; null if the deployment has no tenants. */
    public final Tenant tenant;

    /** Time at which the query arrived at this router. */
    public final Duration arrivedAt;

    /** Time at which the client stops waiting. */
    public final Duration deadline;

    private final List<ShardRequest> requests = new ArrayList<>();
    private final List<ShardRequest> completedFirstStep = new ArrayList<>();

    /** Shard requests of the current step; an unmodifiable view. */
    public final List<ShardRequest> shardRequests = Collections.unmodifiableList(requests);

    /**
     * Shard requests of the first step once the second step has begun, otherwise empty; an
     * unmodifiable view.
     */
    public final List<ShardRequest> firstStepRequests =
            Collections.unmodifiableList(completedFirstStep);

    private QueryClass queryClass;
    private Duration firstRequestedAt;
    private boolean clientRetry;
    private int replicaOffset = -1;
    private boolean ended;
    private CompletenessRule completenessRule;
    private int resetCount;
    private boolean poisoned;
    private boolean overQuota;

    /** Creates a query without shard requests. The tenant may be null. */
    public Query(QueryClass queryClass, Tenant tenant, Duration arrivedAt, Duration deadline) {
        this.queryClass = queryClass;
        this.tenant = tenant;
        this.arrivedAt = arrivedAt;
        this.firstRequestedAt = arrivedAt;
        this.deadline = deadline;
    }

    /** Returns the class of the current step. */
    public QueryClass queryClass() {
        return queryClass;
    }

    /**
     * Returns the time at which the client first sent the query, as far as it is known. It is
     * before the arrival if the query is a client retry.
     */
    public Duration firstRequestedAt() {
        return firstRequestedAt;
    }

    /** Sets the time at which the client first sent the query. */
    public void setFirstRequestedAt(Duration firstRequestedAt) {
        this.firstRequestedAt = firstRequestedAt;
    }

    /** Returns the time at which the latency objective passes. */
    public Duration sloDeadline() {
        return firstRequestedAt.plus(queryClass.latencyObjective);
    }

    /** Returns whether the client marked the query as a retry. */
    public boolean isClientRetry() {
        return clientRetry;
    }

    /** Records that the client marked the query as a retry. */
    public void markClientRetry() {
        clientRetry = true;
    }

    /**
     * Returns whether the query has ended: it has a final answer or its client has disconnected.
     */
    public boolean hasEnded() {
        return ended;
    }

    /** Records that the query has a final answer or that its client has disconnected. */
    public void end() {
        ended = true;
    }

    /** Returns whether a replica offset has been chosen for the current step. */
    public boolean hasReplicaOffset() {
        return replicaOffset >= 0;
    }

    /**
     * Returns the index in the replica lists of the shards from which replicas are tried; negative
     * if none has been chosen.
     */
    public int replicaOffset() {
        return replicaOffset;
    }

    /** Sets the replica offset of the current step. */
    public void setReplicaOffset(int offset) {
        replicaOffset = offset;
    }

    /**
     * Returns the rule that computes the weights of requests after slices were split or merged;
     * null if the weight of each request counts as it is.
     */
    public CompletenessRule completenessRule() {
        return completenessRule;
    }

    /** Sets the rule that computes the weights of requests. */
    public void setCompletenessRule(CompletenessRule rule) {
        completenessRule = rule;
    }

    /** Returns the number of attempts of this query whose connection was reset. */
    public int resetCount() {
        return resetCount;
    }

    /** Records that the connection of an attempt of this query was reset. */
    public void recordReset() {
        resetCount++;
    }

    /** Returns whether the query is suspected of crashing data nodes. */
    public boolean isPoisoned() {
        return poisoned;
    }

    /** Records that the query is suspected of crashing data nodes. */
    public void markPoisoned() {
        poisoned = true;
    }

    /** Returns whether the query exceeded its tenant's quota when it arrived. */
    public boolean isOverQuota() {
        return overQuota;
    }

    /** Records that the query exceeds its tenant's quota. */
    public void markOverQuota() {
        overQuota = true;
    }

    /** Returns the weight of the answered requests, from 0 to {@link #totalWeight}. */
    public double answeredWeight() {
        return weightOf(ShardRequest::isAnswered);
    }

    /**
     * Returns the weight of the requests that match the condition, from 0 to {@link #totalWeight}.
     */
    public double weightOf(Predicate<ShardRequest> condition) {
        return completenessRule == null
                ? sumOfWeights(condition)
                : completenessRule.weight(this, condition);
    }

    /**
     * Returns the weight of all requests of the current step. This is only approximately 1, as
     * clients may write weights with few digits.
     */
    public double totalWeight() {
        return completenessRule == null
                ? sumOfWeights(request -> true)
                : completenessRule.totalWeight();
    }

    private double sumOfWeights(Predicate<ShardRequest> condition) {
        double sum = 0;
        for (ShardRequest request : requests) {
            if (condition.test(request)) {
                sum += request.weight;
            }
        }
        return sum;
    }

    /**
     * Returns whether the weight of the requests that match the condition is at least this fraction
     * of the total weight. A share of 1 requires all requests, whatever their weights. The weight
     * for a smaller share may fall short only by a floating-point error.
     */
    public boolean isCoveredBy(Predicate<ShardRequest> condition, double share) {
        return requiresAllRequests(share)
                ? requests.stream().allMatch(condition)
                : missingWeight(condition, share) <= 0;
    }

    private boolean requiresAllRequests(double share) {
        return share >= 1 || totalWeight() <= 0;
    }

    /**
     * Returns the weight by which the requests that match the condition fall short of this share,
     * less the floating-point error.
     */
    private double missingWeight(Predicate<ShardRequest> condition, double share) {
        double total = totalWeight();
        int summands =
                requests.size() + (completenessRule == null ? 0 : completenessRule.weightCount());
        return share * total - weightOf(condition) - roundingError(summands, total);
    }

    /**
     * Returns a bound of the floating-point error in the comparison of two sums of which one is
     * multiplied: half an ulp for each decimal weight, addition and product.
     */
    private static double roundingError(int summands, double total) {
        return (summands + 1) * Math.ulp(1.0) * total;
    }

    /** Returns the number of requests of the current step that match the condition. */
    public int countRequests(Predicate<ShardRequest> condition) {
        int count = 0;
        for (ShardRequest request : requests) {
            count += condition.test(request) ? 1 : 0;
        }
        return count;
    }

    /**
     * Returns the number of answers that are still needed (alpha in the SEDPT-R paper), assuming
     * that each unanswered request has their mean weight. It is 0 only if the required weight is
     * answered.
     */
    public int requestsNeeded() {
        int unanswered = countRequests(request -> !request.isAnswered());
        if (unanswered == 0 || requiresAllRequests(queryClass.requiredWeight)) {
            return unanswered;
        }
        double missing = missingWeight(ShardRequest::isAnswered, queryClass.requiredWeight);
        if (missing <= 0) {
            return 0;
        }
        double unansweredWeight = sumOfWeights(request -> !request.isAnswered());
        double needed = Math.ceil(missing * unanswered / unansweredWeight);
        return (int) Math.max(1, Math.min(unanswered, needed));
    }

    /** Returns the number of unanswered requests with an attempt in flight. */
    public int requestsInFlight() {
        return countRequests(
                request -> !request.isAnswered() && !request.attemptsInFlight.isEmpty());
    }

    /** Returns whether no attempt has been sent for the query. */
    public boolean hasNotStarted() {
        return completedFirstStep.isEmpty()
                && countRequests(request -> !request.attempts.isEmpty()) == 0;
    }

    /** Begins the second step. Its requests are added later. */
    public void beginSecondStep() {
        completedFirstStep.addAll(requests);
        requests.clear();
        queryClass = queryClass.secondStep;
        replicaOffset = -1;
    }

    /** Removes shard requests that have been replaced by others. */
    public void removeShardRequests(Collection<? extends ShardRequest> replaced) {
        requests.removeAll(replaced);
    }

    void add(ShardRequest request) {
        requests.add(request);
    }
}
