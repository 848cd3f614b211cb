package postbeam.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The part of a query that one shard answers. */
public class ShardRequest {
    /** The query that it belongs to. */
    public final Query query;

    /** The class of the query's step that it belongs to. */
    public final QueryClass queryClass;

    /** The shard that answers it. */
    public final int shard;

    /** Its share of the query's answer, from 0 to 1. */
    public final double weight;

    /** How long a node is expected to work on it; null where no hint came. */
    public final Duration estimatedWork;

    private final List<Attempt> allAttempts = new ArrayList<>();
    private final List<Attempt> inFlight = new ArrayList<>();

    /** All attempts so far, oldest first; a view that can't be changed. */
    public final List<Attempt> attempts = Collections.unmodifiableList(allAttempts);

    /** The attempts without an outcome, oldest first; a view that can't be changed. */
    public final List<Attempt> attemptsInFlight = Collections.unmodifiableList(inFlight);

    private boolean answered;
    private boolean closed;
    private Duration mayHaveExecutedSince;

    /** Creates a request of the query's present step, and adds it to the query. */
    public ShardRequest(Query query, int shard, double weight, Duration estimatedWork) {
        this.query = query;
        this.queryClass = query.queryClass();
        this.shard = shard;
        this.weight = weight;
        this.estimatedWork = estimatedWork;
        query.add(this);
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

    /** An attempt sent then may have been executed. */
    public void recordPossibleExecution(Duration sentAt) {
        if (mayHaveExecutedSince == null || mayHaveExecutedSince.compareTo(sentAt) > 0) {
            mayHaveExecutedSince = sentAt;
        }
    }

    /**
     * Takes over the attempts of another request that is over and whose keys this one covers: what
     * may have been executed there may have been executed here.
     */
    public void inheritAttempts(ShardRequest other) {
        allAttempts.addAll(other.allAttempts);
        closed |= other.closed;
        if (other.mayHaveExecutedSince != null) {
            recordPossibleExecution(other.mayHaveExecutedSince);
        }
    }

    void add(Attempt attempt) {
        allAttempts.add(attempt);
        inFlight.add(attempt);
    }

    void remove(Attempt attempt) {
        inFlight.remove(attempt);
    }
}
