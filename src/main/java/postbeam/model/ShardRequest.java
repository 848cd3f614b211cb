package postbeam.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** The part of a query that one shard answers. */
public class ShardRequest {
    public final Query query;

    /** What its query was when it came: that of its step. */
    public final QueryClass queryClass;

    public final int shard;
    public final double weight;

    /** Expected work; null where no hint came. */
    public final Duration estimatedWork;

    public final List<Attempt> attempts = new ArrayList<>();

    /** The leaf calls without an outcome yet, oldest first. */
    public final List<Attempt> attemptsInFlight = new ArrayList<>();

    private boolean answered;

    /** No further leaf call is taken for it. */
    private boolean closed;

    /** When the first leaf call that may have run was sent; null while none may. */
    private Duration mayHaveExecutedSince;

    public ShardRequest(Query query, int shard, double weight, Duration work) {
        this.query = query;
        this.queryClass = query.queryClass();
        this.shard = shard;
        this.weight = weight;
        this.estimatedWork = work;
        query.shardRequests.add(this);
    }

    /** Whether an attempt has brought its answer. */
    public boolean isAnswered() {
        return answered;
    }

    /** An attempt has brought its answer. */
    public void markAnswered() {
        answered = true;
    }

    /** Whether no further attempt is allowed. */
    public boolean isClosed() {
        return closed;
    }

    /** No further attempt is allowed. */
    public void close() {
        closed = true;
    }

    /**
     * When the first attempt that may have been executed was sent; null while none may have been.
     */
    public Duration mayHaveExecutedSince() {
        return mayHaveExecutedSince;
    }

    /**
     * This part stands for keys of the other, which is over: what may have run there may have run
     * here.
     */
    public void inheritAttempts(ShardRequest other) {
        attempts.addAll(other.attempts);
        closed |= other.closed;
        if (other.mayHaveExecutedSince != null) {
            recordPossibleExecution(other.mayHaveExecutedSince);
        }
    }

    /** A leaf call sent then may have run. */
    public void recordPossibleExecution(Duration sentAt) {
        if (mayHaveExecutedSince == null || mayHaveExecutedSince.compareTo(sentAt) > 0) {
            mayHaveExecutedSince = sentAt;
        }
    }
}
