package postbeam.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A query that this router has taken. */
public final class Query {
    public final Vertical vertical;
    /** Null where the deployment has no customers. */
    public final Customer customer;
    public final Duration arrivedAt;
    /** When its client first asked, as far as that shows. */
    public Duration askedAt;
    /** When the client stops waiting. */
    public final Duration deadline;
    /** Parts of the step that is under way. */
    public final List<Part> parts = new ArrayList<>();
    /** Parts of the first step, once the second is under way. */
    public final List<Part> firstStepParts = new ArrayList<>();
    /** Place in the replica lists of its shards; below 0 before it is chosen. */
    public int offset = -1;
    /** 1 or 2; the second step's parts come after the first is answered. */
    public int step = 1;
    public boolean firstStepWhole;
    public boolean ended;
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
        double sum = 0;
        for (Part part : parts) {
            if (part.merged) {
                sum += part.weight;
            }
        }
        return sum;
    }
}
