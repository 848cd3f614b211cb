package postbeam.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.function.Predicate;

/** A query that this router has accepted, with its shard requests and its progress. */
public final class Query {
    /** Its tenant; null if the deployment has no tenants. */
    public final Tenant tenant;

    /** When it arrived at this router. */
    public final Duration arrivedAt;

    /** When its client stops waiting. */
    public final Duration deadline;

    private final List<ShardRequest> requests = new ArrayList<>();
    private final List<ShardRequest> completedFirstStep = new ArrayList<>();

    /** The requests of its current step; an unmodifiable view. */
    public final List<ShardRequest> shardRequests = Collections.unmodifiableList(requests);

    /** The requests of its first step once that is answered, else empty; an unmodifiable view. */
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

    /** Creates a query without shard requests; the tenant may be null. */
    public Query(QueryClass queryClass, Tenant tenant, Duration arrivedAt, Duration deadline) {
        this.queryClass = queryClass;
        this.tenant = tenant;
        this.arrivedAt = arrivedAt;
        this.firstRequestedAt = arrivedAt;
        this.deadline = deadline;
    }

    /** The class of its current step. */
    public QueryClass queryClass() {
        return queryClass;
    }

    /** When its client first sent it, as far as known: before its arrival if this is a retry. */
    public Duration firstRequestedAt() {
        return firstRequestedAt;
    }

    /** Sets when its client first sent it. */
    public void setFirstRequestedAt(Duration firstRequestedAt) {
        this.firstRequestedAt = firstRequestedAt;
    }

    /** When its latency objective passes. */
    public Duration sloDeadline() {
        return firstRequestedAt.plus(queryClass.latencyObjective);
    }

    /** Whether its client marks it as a retry. */
    public boolean isClientRetry() {
        return clientRetry;
    }

    /** Records that its client marks it as a retry. */
    public void markClientRetry() {
        clientRetry = true;
    }

    /** Whether it has a final answer or its client has disconnected. */
    public boolean hasEnded() {
        return ended;
    }

    /** Records that it has a final answer or that its client has disconnected. */
    public void end() {
        ended = true;
    }

    /** Whether the replica offset of its current step is chosen. */
    public boolean hasReplicaOffset() {
        return replicaOffset >= 0;
    }

    /** Index in its shards' replica lists at which its requests start. */
    public int replicaOffset() {
        return replicaOffset;
    }

    /** Sets the replica offset of its current step. */
    public void setReplicaOffset(int offset) {
        replicaOffset = offset;
    }

    /**
     * The rule for its weights after slices were split or merged; null if each request counts by
     * itself.
     */
    public CompletenessRule completenessRule() {
        return completenessRule;
    }

    /** Sets the rule for its weights. */
    public void setCompletenessRule(CompletenessRule rule) {
        completenessRule = rule;
    }

    /** Number of its attempts whose connection was reset. */
    public int resetCount() {
        return resetCount;
    }

    /** Records that the connection of one of its attempts was reset. */
    public void recordReset() {
        resetCount++;
    }

    /** Whether it is suspected of crashing nodes. */
    public boolean isPoisoned() {
        return poisoned;
    }

    /** Records that it is suspected of crashing nodes. */
    public void markPoisoned() {
        poisoned = true;
    }

    /** Whether it exceeds its tenant's quota. */
    public boolean isOverQuota() {
        return overQuota;
    }

    /** Records that it exceeds its tenant's quota. */
    public void markOverQuota() {
        overQuota = true;
    }

    /** The weight of the answered requests, from 0 to {@link #totalWeight}. */
    public double answeredWeight() {
        return weightOf(ShardRequest::isAnswered);
    }

    /** The weight of the requests that match, from 0 to {@link #totalWeight}. */
    public double weightOf(Predicate<ShardRequest> condition) {
        return completenessRule == null
                ? sumOfWeights(condition)
                : completenessRule.weight(this, condition);
    }

    /**
     * The weight of all requests of its current step. Clients may write weights with few digits, so
     * that this is only about 1.
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
     * Whether the requests that match make up this share of its weight. A share of 1 takes all
     * requests, whatever they weigh; a lower one may be missed by floating-point error only.
     */
    public boolean isCoveredBy(Predicate<ShardRequest> condition, double share) {
        return requiresAllRequests(share)
                ? requests.stream().allMatch(condition)
                : missingWeight(condition, share) <= 0;
    }

    private boolean requiresAllRequests(double share) {
        return share >= 1 || totalWeight() <= 0;
    }

    /** The weight that the requests that match lack to this share, less floating-point error. */
    private double missingWeight(Predicate<ShardRequest> condition, double share) {
        double total = totalWeight();
        int summands =
                requests.size() + (completenessRule == null ? 0 : completenessRule.weightCount());
        return share * total - weightOf(condition) - roundingError(summands, total);
    }

    /**
     * Bound of the floating-point error of a comparison of two sums, one of them multiplied: half
     * an ulp for each decimal weight, addition and product.
     */
    private static double roundingError(int summands, double total) {
        return (summands + 1) * Math.ulp(1.0) * total;
    }

    /** Number of requests of its current step that match. */
    public int countRequests(Predicate<ShardRequest> condition) {
        int count = 0;
        for (ShardRequest request : requests) {
            count += condition.test(request) ? 1 : 0;
        }
        return count;
    }

    /**
     * Number of answers still needed (alpha in the SEDPT-R paper), assuming the mean weight of the
     * unanswered requests. It is 0 only if the required weight is answered.
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

    /** Number of unanswered requests with an attempt in flight. */
    public int requestsInFlight() {
        return countRequests(
                request -> !request.isAnswered() && !request.attemptsInFlight.isEmpty());
    }

    /** Whether nothing has been sent for it. */
    public boolean hasNotStarted() {
        return completedFirstStep.isEmpty()
                && countRequests(request -> !request.attempts.isEmpty()) == 0;
    }

    /** Starts the second step, whose requests are still to be added. */
    public void beginSecondStep() {
        completedFirstStep.addAll(requests);
        requests.clear();
        queryClass = queryClass.secondStep;
        replicaOffset = -1;
    }

    /** Removes requests that have been replaced by others. */
    public void removeShardRequests(Collection<? extends ShardRequest> replaced) {
        requests.removeAll(replaced);
    }

    void add(ShardRequest request) {
        requests.add(request);
    }
}
