package postbeam.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** A query that this router has taken. */
public final class Query {
    /** That of the step it is in. */
    private Vertical vertical;

    /** Null where the deployment has no customers. */
    public final Customer customer;

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

    public final List<Part> parts = new ArrayList<>();

    /** Place in the replica lists of its shards; below 0 before it is chosen. */
    private int replicaOffset = -1;

    private boolean ended;

    /**
     * Parts of its first step, once that is answered; empty before, and where there is no second.
     */
    public final List<Part> firstStep = new ArrayList<>();

    /** How weights count where slices are re-cut; null: each part counts by itself. */
    private Counting completenessRule;

    /** Its leaf calls that were reset; and it is held to crash the nodes that begin its parts. */
    private int resetCount;

    private boolean poisoned;

    /** It came beyond its customer's share. */
    private boolean overQuota;

    public Query(Vertical vertical, Customer customer, Duration arrivedAt, Duration deadline) {
        this.vertical = vertical;
        this.customer = customer;
        this.arrivedAt = arrivedAt;
        this.firstRequestedAt = arrivedAt;
        this.deadline = deadline;
    }

    /** The class of the step it is in: what its parts are now. */
    public Vertical queryClass() {
        return vertical;
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
    public Counting completenessRule() {
        return completenessRule;
    }

    /** Weights count by this rule from now on. */
    public void useCompletenessRule(Counting rule) {
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

    public Duration sloAt() {
        return firstRequestedAt.plus(vertical.sloTime);
    }

    public double mergedWeight() {
        return weightOf(part -> part.isAnswered());
    }

    /** The weight that such parts make together. */
    public double weightOf(Predicate<Part> which) {
        if (completenessRule != null) {
            return completenessRule.weight(this, which);
        }
        double sum = 0;
        for (Part part : parts) {
            if (which.test(part)) {
                sum += part.weight;
            }
        }
        return sum;
    }

    public int count(Predicate<Part> which) {
        int count = 0;
        for (Part part : parts) {
            count += which.test(part) ? 1 : 0;
        }
        return count;
    }

    /** Parts still needed, taking those left at their mean weight. */
    public int alpha() {
        int unmerged = count(part -> !part.isAnswered());
        double weight = 0;
        for (Part part : parts) {
            weight += part.isAnswered() ? 0 : part.weight;
        }
        double share = (vertical.need - mergedWeight()) * unmerged / weight;
        return weight <= 0 ? unmerged : (int) Math.min(unmerged, Math.ceil(share - 0.001));
    }

    /** Parts with a leaf call out and not merged. */
    public int out() {
        return count(part -> !part.isAnswered() && !part.out.isEmpty());
    }

    /** The first step is answered: its parts are over, those of the second are to come. */
    public void secondStep() {
        firstStep.addAll(parts);
        parts.clear();
        vertical = vertical.second;
        replicaOffset = -1;
    }

    /** No leaf call was sent for it. */
    public boolean untouched() {
        return firstStep.isEmpty() && count(part -> !part.calls.isEmpty()) == 0;
    }
}
