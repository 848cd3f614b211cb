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
 * A query that is being served: the actions that wait for its thread, and the values that data
 * nodes gave. Guarded by the lock of {@link PolicyExecutor}, but for the check of its client.
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

    /** Reports a client that has disconnected; run on the I/O thread of its connection. */
    private volatile Runnable clientCheck = () -> {};

    /** Creates a query without attempts; the page side is null where no page is requested. */
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

    /** The policy's view of it. */
    Query query() {
        return query;
    }

    boolean isPaged() {
        return pagedQuery != null;
    }

    /** Null where no page is requested. */
    PagedQuery pagedQuery() {
        return pagedQuery;
    }

    // ---- actions

    void addAction(QueryAction action) {
        actions.add(action);
        actionAvailable.signal();
    }

    /** The next action; null where there is none yet. */
    QueryAction pollAction() {
        return actions.poll();
    }

    /** The next action; waits for it and gives up the lock meanwhile. */
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

    void abandonAttempts() {
        attempts.forEach(DispatchedAttempt::abandon);
    }

    /** Keeps what a node gave for a shard request; the first success counts. */
    void recordSuccess(AttemptResult result) {
        if (pagedQuery == null) {
            values.putIfAbsent(result.attempt().policyAttempt.shardRequest, result.value());
        } else {
            pagedQuery.recordRows(result);
        }
    }

    /** What a node gave; null where none did, or where it gave rows of a page. */
    byte[] value(ShardRequest shardRequest) {
        return values.get(shardRequest);
    }

    // ---- follow-up queries of its page, in order

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

    /** Sets what reports a disconnected client; it is run on the I/O thread of the connection. */
    public void setClientCheck(Runnable check) {
        clientCheck = check;
    }

    @Override
    public void check() {
        clientCheck.run();
    }
}
