package postbeam.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The part of a query that is answered by one shard. */
public class ShardRequest {
    /** Its query. */
    public final Query query;

    /** The class of the query's step that it belongs to. */
    public final QueryClass queryClass;

    /** The shard that answers it. */
    public final int shard;

    /** Its weight in the query's answer, from 0 to 1. */
    public final double weight;

    /** Estimated work of a node; null without a hint. */
    public final Duration estimatedWork;

    private final List<Attempt> allAttempts = new ArrayList<>();
    private final List<Attempt> inFlight = new ArrayList<>();

    /** All attempts so far, oldest first; an unmodifiable view. */
    public final List<Attempt> attempts = Collections.unmodifiableList(allAttempts);

    /** The attempts without an outcome, oldest first; an unmodifiable view. */
    public final List<Attempt> attemptsInFlight = Collections.unmodifiableList(inFlight);

    private boolean answered;
    private boolean closed;
    private Duration mayHaveExecutedSince;

    /** Creates a request of the query's current step and adds it to the query. */
    public ShardRequest(Query query, int shard, double weight, Duration estimatedWork) {
        this.query = query;
        this.queryClass = query.queryClass();
        this.shard = shard;
        this.weight = weight;
        this.estimatedWork = estimatedWork;
        query.add(this);
    }

    /** Whether it is answered. */
    public boolean isAnswered() {
        return answered;
    }

    /** Records that it is answered. */
    public void markAnswered() {
        answered = true;
    }

    /** Whether no further attempts are allowed. */
    public boolean isClosed() {
        return closed;
    }

    /** Disallows further attempts. */
    public void close() {
        closed = true;
    }

    /** When the first attempt that may have been executed was sent; null if there is none. */
    public Duration mayHaveExecutedSince() {
        return mayHaveExecutedSince;
    }

    /** Records that an attempt sent at this time may have been executed. */
    public void recordPossibleExecution(Duration sentAt) {
        if (mayHaveExecutedSince == null || mayHaveExecutedSince.compareTo(sentAt) > 0) {
            mayHaveExecutedSince = sentAt;
        }
    }

    /**
     * Inherits the history of a request that this one replaces: what may have been executed for the
     * other may have been executed for this one.
     */
    public void inherit(ShardRequest other) {
        inheritAttempts(other);
        closed |= other.closed;
        if (other.mayHaveExecutedSince != null) {
            recordPossibleExecution(other.mayHaveExecutedSince);
        }
    }

    /**
     * Counts the attempts of a request that this one replaces as its own, without the rest of its
     * history.
     */
    public void inheritAttempts(ShardRequest other) {
        allAttempts.addAll(other.allAttempts);
    }

    void add(Attempt attempt) {
        allAttempts.add(attempt);
        inFlight.add(attempt);
    }

    void remove(Attempt attempt) {
        inFlight.remove(attempt);
    }
}
