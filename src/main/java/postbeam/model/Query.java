package postbeam.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.function.Predicate;

/**
 * A query that this router has accepted: its promises, its shard requests, and how far they are.
 */
public final class Query {
    /** Share of a request: rounding of weights makes a query need no further request. */
    private static final double NEEDED_TOLERANCE = 0.001;

    /** The tenant that it belongs to; null where the deployment has none. */
    public final Tenant tenant;

    /** When it arrived at this router. */
    public final Duration arrivedAt;

    /** When its client stops waiting. */
    public final Duration deadline;

    private final List<ShardRequest> requests = new ArrayList<>();
    private final List<ShardRequest> answeredRequests = new ArrayList<>();

    /** The requests of its present step; a view that can't be changed. */
    public final List<ShardRequest> shardRequests = Collections.unmodifiableList(requests);

    /** The requests of its first step once that is answered, else empty; a view. */
    public final List<ShardRequest> firstStepRequests =
            Collections.unmodifiableList(answeredRequests);

    private QueryClass queryClass;
    private Duration firstRequestedAt;
    private boolean clientRetry;
    private int replicaOffset = -1;
    private boolean ended;
    private CompletenessRule completenessRule;
    private int resetCount;
    private boolean poisoned;
    private boolean overQuota;

    /** Creates a query without shard requests; the tenant is null where there are none. */
    public Query(QueryClass queryClass, Tenant tenant, Duration arrivedAt, Duration deadline) {
        this.queryClass = queryClass;
        this.tenant = tenant;
        this.arrivedAt = arrivedAt;
        this.firstRequestedAt = arrivedAt;
        this.deadline = deadline;
    }

    /** The class of its present step. */
    public QueryClass queryClass() {
        return queryClass;
    }

    /** When its client first asked, as far as known: before it arrived where this is a retry. */
    public Duration firstRequestedAt() {
        return firstRequestedAt;
    }

    /** Its client first asked for it at that time. */
    public void backdateTo(Duration at) {
        firstRequestedAt = at;
    }

    /** When its latency objective is over. */
    public Duration sloDeadline() {
        return firstRequestedAt.plus(queryClass.latencyObjective);
    }

    /** Whether its client marks it as a retry. */
    public boolean isClientRetry() {
        return clientRetry;
    }

    /** Its client marks it as a retry. */
    public void markClientRetry() {
        clientRetry = true;
    }

    /** Whether it has its final answer, or its client has left. */
    public boolean hasEnded() {
        return ended;
    }

    /** It has its final answer, or its client has left. */
    public void end() {
        ended = true;
    }

    /** Whether its place in the replica lists is chosen for its present step. */
    public boolean hasReplicaOffset() {
        return replicaOffset >= 0;
    }

    /** The place in its shards' replica lists at which its requests begin. */
    public int replicaOffset() {
        return replicaOffset;
    }

    /** Chooses the place in the replica lists for its present step. */
    public void chooseReplicaOffset(int offset) {
        replicaOffset = offset;
    }

    /** How its weights count where slices are re-cut; null where each request counts by itself. */
    public CompletenessRule completenessRule() {
        return completenessRule;
    }

    /** Weights count by this rule from now on. */
    public void useCompletenessRule(CompletenessRule rule) {
        completenessRule = rule;
    }

    /** How many of its attempts ended with a reset connection. */
    public int resetCount() {
        return resetCount;
    }

    /** The connection of one of its attempts was reset. */
    public void recordReset() {
        resetCount++;
    }

    /** Whether it is held to crash the nodes that execute it. */
    public boolean isPoisoned() {
        return poisoned;
    }

    /** It is held to crash the nodes that execute it. */
    public void markPoisoned() {
        poisoned = true;
    }

    /** Whether it came beyond its tenant's quota. */
    public boolean isOverQuota() {
        return overQuota;
    }

    /** It came beyond its tenant's quota. */
    public void markOverQuota() {
        overQuota = true;
    }

    /** The weight of the requests that are answered, from 0 to 1. */
    public double answeredWeight() {
        return weightOf(ShardRequest::isAnswered);
    }

    /** The weight that such requests make together, from 0 to 1. */
    public double weightOf(Predicate<ShardRequest> which) {
        if (completenessRule != null) {
            return completenessRule.weight(this, which);
        }
        double sum = 0;
        for (ShardRequest request : requests) {
            if (which.test(request)) {
                sum += request.weight;
            }
        }
        return sum;
    }

    /** How many such requests its present step has. */
    public int countRequests(Predicate<ShardRequest> which) {
        int count = 0;
        for (ShardRequest request : requests) {
            count += which.test(request) ? 1 : 0;
        }
        return count;
    }

    /**
     * Answers still needed (the paper's alpha), taking unanswered requests at their mean weight.
     */
    public int requestsNeeded() {
        int unanswered = 0;
        double weight = 0;
        for (ShardRequest request : requests) {
            if (!request.isAnswered()) {
                unanswered++;
                weight += request.weight;
            }
        }
        double needed = (queryClass.requiredWeight - answeredWeight()) * unanswered / weight;
        return weight <= 0
                ? unanswered
                : (int) Math.min(unanswered, Math.ceil(needed - NEEDED_TOLERANCE));
    }

    /** Unanswered requests with an attempt in flight. */
    public int requestsInFlight() {
        return countRequests(
                request -> !request.isAnswered() && !request.attemptsInFlight.isEmpty());
    }

    /** Whether nothing was sent for it. */
    public boolean hasNotStarted() {
        return answeredRequests.isEmpty()
                && countRequests(request -> !request.attempts.isEmpty()) == 0;
    }

    /** Its first step is answered: the requests of its second are to come. */
    public void beginSecondStep() {
        answeredRequests.addAll(requests);
        requests.clear();
        queryClass = queryClass.secondStep;
        replicaOffset = -1;
    }

    /** Drops requests whose place others take. */
    public void removeShardRequests(Collection<? extends ShardRequest> replaced) {
        requests.removeAll(replaced);
    }

    void add(ShardRequest request) {
        requests.add(request);
    }
}
