package postbeam.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** A query that this router has taken. */
public final class Query {
    /** That of the step it is in. */
    private QueryClass queryClass;

    /** Null where the deployment has no customers. */
    public final Tenant tenant;

    public final Duration arrivedAt;

    /**
     * When its client first asked, as far as can be told: earlier than it arrived where it is a
     * repeat.
     */
    private Duration firstRequestedAt;

    /** Its client marks it as a repeat. */
    private boolean clientRetry;

    /** When the client stops waiting. */
    public final Duration deadline;

    public final List<ShardRequest> shardRequests = new ArrayList<>();

    /** Place in the replica lists of its shards; below 0 before it is chosen. */
    private int replicaOffset = -1;

    private boolean ended;

    /**
     * Parts of its first step, once that is answered; empty before, and where there is no second.
     */
    public final List<ShardRequest> firstStepRequests = new ArrayList<>();

    /** How weights count where slices are re-cut; null: each part counts by itself. */
    private CompletenessRule completenessRule;

    /** Its leaf calls that were reset; and it is held to crash the nodes that begin its parts. */
    private int resetCount;

    private boolean poisoned;

    /** It came beyond its customer's share. */
    private boolean overQuota;

    public Query(QueryClass queryClass, Tenant tenant, Duration arrivedAt, Duration deadline) {
        this.queryClass = queryClass;
        this.tenant = tenant;
        this.arrivedAt = arrivedAt;
        this.firstRequestedAt = arrivedAt;
        this.deadline = deadline;
    }

    /** The class of the step it is in: what its parts are now. */
    public QueryClass queryClass() {
        return queryClass;
    }

    /**
     * When its client first asked for it, as far as is known: before it arrived where this is a
     * retry.
     */
    public Duration firstRequestedAt() {
        return firstRequestedAt;
    }

    /** Its client first asked for it at that time. */
    public void backdateTo(Duration at) {
        firstRequestedAt = at;
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

    /** Whether the place in the replica lists has been chosen for its present step. */
    public boolean hasReplicaOffset() {
        return replicaOffset >= 0;
    }

    /** The place in the replica lists of its shards at which its parts begin. */
    public int replicaOffset() {
        return replicaOffset;
    }

    /** Chooses the place in the replica lists for its present step. */
    public void chooseReplicaOffset(int offset) {
        replicaOffset = offset;
    }

    /** How its weights count where slices are re-cut; null where each part counts by itself. */
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

    public Duration sloDeadline() {
        return firstRequestedAt.plus(queryClass.latencyObjective);
    }

    public double answeredWeight() {
        return weightOf(request -> request.isAnswered());
    }

    /** The weight that such parts make together. */
    public double weightOf(Predicate<ShardRequest> which) {
        if (completenessRule != null) {
            return completenessRule.weight(this, which);
        }
        double sum = 0;
        for (ShardRequest request : shardRequests) {
            if (which.test(request)) {
                sum += request.weight;
            }
        }
        return sum;
    }

    public int countRequests(Predicate<ShardRequest> which) {
        int count = 0;
        for (ShardRequest request : shardRequests) {
            count += which.test(request) ? 1 : 0;
        }
        return count;
    }

    /** Parts still needed, taking those left at their mean weight. */
    public int requestsNeeded() {
        int unmerged = countRequests(request -> !request.isAnswered());
        double weight = 0;
        for (ShardRequest request : shardRequests) {
            weight += request.isAnswered() ? 0 : request.weight;
        }
        double share = (queryClass.requiredWeight - answeredWeight()) * unmerged / weight;
        return weight <= 0 ? unmerged : (int) Math.min(unmerged, Math.ceil(share - 0.001));
    }

    /** Parts with a leaf call out and not merged. */
    public int requestsInFlight() {
        return countRequests(
                request -> !request.isAnswered() && !request.attemptsInFlight.isEmpty());
    }

    /** The first step is answered: its parts are over, those of the second are to come. */
    public void beginSecondStep() {
        firstStepRequests.addAll(shardRequests);
        shardRequests.clear();
        queryClass = queryClass.secondStep;
        replicaOffset = -1;
    }

    /** No leaf call was sent for it. */
    public boolean hasNotStarted() {
        return firstStepRequests.isEmpty()
                && countRequests(request -> !request.attempts.isEmpty()) == 0;
    }
}
