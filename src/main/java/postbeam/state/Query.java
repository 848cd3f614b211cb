package postbeam.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** A query that this router has taken. */
public final class Query {
    /** What its parts are now: in its second step that of the second. */
    public Vertical vertical;
    /** Null where the deployment has no customers. */
    public final Customer customer;
    public final Duration arrivedAt;
    /** When its client first asked, as far as can be told: earlier than it arrived where it is a repeat. */
    public Duration askedAt;
    /** Its client marks it as a repeat. */
    public boolean repeat;
    /** When the client stops waiting. */
    public final Duration deadline;
    public final List<Part> parts = new ArrayList<>();
    /** Place in the replica lists of its shards; below 0 before it is chosen. */
    public int offset = -1;
    public boolean ended;
    /** Parts of its first step, once that is answered; empty before, and where there is no second. */
    public final List<Part> firstStep = new ArrayList<>();
    /** How weights count where slices are re-cut; null: each part counts by itself. */
    public Counting counting;
    /** Its leaf calls that were reset; and it is held to crash the nodes that begin its parts. */
    public int resets;
    public boolean poisoned;
    /** It came beyond its customer's share. */
    public boolean overShare;

    public Query(Vertical vertical, Customer customer, Duration arrivedAt, Duration deadline) {
        this.vertical = vertical;
        this.customer = customer;
        this.arrivedAt = arrivedAt;
        this.askedAt = arrivedAt;
        this.deadline = deadline;
    }

    public Duration sloAt() {
        return askedAt.plus(vertical.sloTime);
    }

    public double mergedWeight() {
        return weightOf(part -> part.merged);
    }

    /** The weight that such parts make together. */
    public double weightOf(Predicate<Part> which) {
        if (counting != null) {
            return counting.weight(this, which);
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
        int unmerged = count(part -> !part.merged);
        double weight = 0;
        for (Part part : parts) {
            weight += part.merged ? 0 : part.weight;
        }
        double share = (vertical.need - mergedWeight()) * unmerged / weight;
        return weight <= 0 ? unmerged : (int) Math.min(unmerged, Math.ceil(share - 0.001));
    }

    /** Parts with a leaf call out and not merged. */
    public int out() {
        return count(part -> !part.merged && !part.out.isEmpty());
    }

    /** The first step is answered: its parts are over, those of the second are to come. */
    public void secondStep() {
        firstStep.addAll(parts);
        parts.clear();
        vertical = vertical.second;
        offset = -1;
    }

    /** No leaf call was sent for it. */
    public boolean untouched() {
        return firstStep.isEmpty() && count(part -> !part.calls.isEmpty()) == 0;
    }
}
