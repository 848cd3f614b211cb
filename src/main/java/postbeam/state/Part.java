package postbeam.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** The part of a query that one shard answers. */
public class Part {
    public final Query query;
    /** What its query was when it came: that of its step. */
    public final Vertical vertical;
    public final int shard;
    public final double weight;
    /** Expected work; null where no hint came. */
    public final Duration work;
    public final List<LeafCall> calls = new ArrayList<>();
    /** The leaf calls without an outcome yet, oldest first. */
    public final List<LeafCall> out = new ArrayList<>();
    public boolean merged;
    /** No further leaf call is taken for it. */
    public boolean closed;
    /** When the first leaf call that may have run was sent; null while none may. */
    public Duration mayHaveRunSince;

    public Part(Query query, int shard, double weight, Duration work) {
        this.query = query;
        this.vertical = query.vertical;
        this.shard = shard;
        this.weight = weight;
        this.work = work;
        query.parts.add(this);
    }

    /** This part stands for keys of the other, which is over: what may have run there may have run here. */
    public void inherit(Part other) {
        calls.addAll(other.calls);
        closed |= other.closed;
        if (other.mayHaveRunSince != null) {
            mayHaveRun(other.mayHaveRunSince);
        }
    }

    /** A leaf call sent then may have run. */
    public void mayHaveRun(Duration sentAt) {
        if (mayHaveRunSince == null || mayHaveRunSince.compareTo(sentAt) > 0) {
            mayHaveRunSince = sentAt;
        }
    }
}
