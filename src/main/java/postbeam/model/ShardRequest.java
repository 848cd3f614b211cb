package postbeam.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The part of a query that one shard answers. */
public class ShardRequest {
    /** Query that the request belongs to. */
    public final Query query;

    /** Class of the step of the query that the request belongs to. */
    public final QueryClass queryClass;

    /** Number of the shard that answers the request. */
    public final int shard;

    /** Weight of the request in the answer of the query, from 0 to 1. */
    public final double weight;

    /**
     * Estimated time that a data node works on the request; null if the client gave no estimate.
     */
    public final Duration estimatedWork;

    private final List<Attempt> allAttempts = new ArrayList<>();
    private final List<Attempt> inFlight = new ArrayList<>();

    /** All attempts so far, oldest first; an unmodifiable view. */
    public final List<Attempt> attempts = Collections.unmodifiableList(allAttempts);

    /** Attempts whose outcome is not known yet, oldest first; an unmodifiable view. */
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

    /** Returns whether the request is answered. */
    public boolean isAnswered() {
        return answered;
    }

    /** Records that the request is answered. */
    public void markAnswered() {
        answered = true;
    }

    /** Returns whether no further attempts are allowed. */
    public boolean isClosed() {
        return closed;
    }

    /** Disallows further attempts. */
    public void close() {
        closed = true;
    }

    /**
     * Returns the time at which the first attempt that may have been executed was sent; null if
     * there is none.
     */
    public Duration mayHaveExecutedSince() {
        return mayHaveExecutedSince;
    }

    /** Records that an attempt that was sent at this time may have been executed. */
    public void recordPossibleExecution(Duration sentAt) {
        if (mayHaveExecutedSince == null || mayHaveExecutedSince.compareTo(sentAt) > 0) {
            mayHaveExecutedSince = sentAt;
        }
    }

    /**
     * Copies the history of a request that this one replaces, as a node that may have executed the
     * other request may have executed this one. The attempts of the other request count as attempts
     * of this one.
     */
    public void inherit(ShardRequest other) {
        inheritAttempts(other);
        closed |= other.closed;
        if (other.mayHaveExecutedSince != null) {
            recordPossibleExecution(other.mayHaveExecutedSince);
        }
    }

    /**
     * Counts the attempts of a request that this one replaces as attempts of this one, without the
     * rest of its history.
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
