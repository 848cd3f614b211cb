package postbeam.router;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.concurrent.locks.Condition;
import postbeam.dispatch.AttemptResult;
import postbeam.dispatch.ClientPresence;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.dispatch.QueryAction;
import postbeam.model.Query;
import postbeam.model.ShardRequest;

/**
 * A query in flight: the actions that wait for its thread and the values that data nodes returned.
 * Guarded by the lock of {@link PolicyExecutor}, except for the client check.
 */
public final class InFlightQuery implements ClientPresence {
    private final ClientRequest request;
    private final Query query;
    private final Condition actionAvailable;
    private final Deque<QueryAction> actions = new ArrayDeque<>();
    private final List<DispatchedAttempt> attempts = new ArrayList<>();
    private final IdentityHashMap<ShardRequest, byte[]> values = new IdentityHashMap<>();
    private final PagedQuery pagedQuery;
    private final List<InFlightQuery> followUps = new ArrayList<>(0);
    private boolean clientGone;

    /**
     * Check that ends the query if its client has disconnected; run on the I/O thread of its
     * connection.
     */
    private volatile Runnable clientCheck = () -> {};

    /**
     * Creates a query without attempts.
     *
     * @param actionAvailable a condition of the lock of {@link PolicyExecutor}, signalled for each
     *     new action
     * @param pagedQuery null if no page is requested
     */
    InFlightQuery(
            ClientRequest request, Query query, Condition actionAvailable, PagedQuery pagedQuery) {
        this.request = request;
        this.query = query;
        this.actionAvailable = actionAvailable;
        this.pagedQuery = pagedQuery;
    }

    ClientRequest request() {
        return request;
    }

    /** The policy's object for this query. */
    Query query() {
        return query;
    }

    boolean isPaged() {
        return pagedQuery != null;
    }

    /** The paging state of the query; null if no page is requested. */
    PagedQuery pagedQuery() {
        return pagedQuery;
    }

    // ---- actions

    void addAction(QueryAction action) {
        actions.add(action);
        actionAvailable.signal();
    }

    /** Removes and returns the next action; null if there is none yet. */
    QueryAction pollAction() {
        return actions.poll();
    }

    /**
     * Removes and returns the next action. Waits until there is one and releases the lock
     * meanwhile.
     */
    QueryAction awaitAction() throws InterruptedException {
        while (actions.isEmpty()) {
            actionAvailable.await();
        }
        return actions.poll();
    }

    // ---- attempts and values

    void addAttempt(DispatchedAttempt attempt) {
        attempts.add(attempt);
    }

    /** Returns whether any attempt was made for this query. */
    boolean hasAttempts() {
        return !attempts.isEmpty();
    }

    void abandonAttempts() {
        attempts.forEach(DispatchedAttempt::abandon);
    }

    /**
     * Records the value that a node returned for a shard request. Only the first success counts.
     */
    void recordSuccess(AttemptResult result) {
        if (pagedQuery == null) {
            values.putIfAbsent(result.attempt().policyAttempt.shardRequest, result.value());
        } else {
            pagedQuery.recordRows(result);
        }
    }

    /**
     * The value of a shard request; null if no node returned one, or if rows of a page were
     * returned.
     */
    byte[] value(ShardRequest shardRequest) {
        return values.get(shardRequest);
    }

    // ---- follow-up queries of the page, in order

    void addFollowUp(InFlightQuery followUp) {
        followUps.add(followUp);
        followUp.clientCheck = clientCheck;
    }

    List<InFlightQuery> followUps() {
        return Collections.unmodifiableList(followUps);
    }

    // ---- client

    void markClientGone() {
        clientGone = true;
    }

    boolean isClientGone() {
        return clientGone;
    }

    /**
     * Sets the check that reports a disconnected client; it is run on the I/O thread of the
     * connection.
     */
    public void setClientCheck(Runnable check) {
        clientCheck = check;
    }

    @Override
    public void check() {
        clientCheck.run();
    }
}
