package postbeam.router;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.Condition;
import postbeam.dispatch.ClientPresence;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.dispatch.QueryAction;
import postbeam.model.Query;
import postbeam.model.ShardRequest;
import postbeam.pages.PartialPage;

/** A query that is being served: what its thread has to do next, and the values that are in. */
public final class InFlightQuery implements ClientPresence {
    final ClientRequest request;
    final Query query;
    final Condition actionAvailable;
    final Deque<QueryAction> actions = new ArrayDeque<>();
    final List<DispatchedAttempt> attempts = new ArrayList<>();
    final Map<ShardRequest, byte[]> shardValues = new IdentityHashMap<>();

    /** What it has to do with pages; null where none was asked for. */
    final PagedQuery pagedQuery;

    /** The layout's version when it was taken; 0 without pages. */
    final long layoutVersion;

    /** The parts' rows; empty without pages. */
    final Map<ShardRequest, PartialPage> partialPages;

    /** What counts of them in the answer. */
    final List<PartialPage> countedPages;

    /** Queries that ask again for its page, in turn. */
    final List<InFlightQuery> followUps;

    boolean clientGone;

    /**
     * Looks at the client's connection and says so where the client has left; on the I/O thread.
     */
    private volatile Runnable setClientCheck = () -> {};

    InFlightQuery(
            ClientRequest clientRequest,
            Query query,
            Condition changed,
            PagedQuery paged,
            long layout) {
        this.request = clientRequest;
        this.query = query;
        this.actionAvailable = changed;
        this.pagedQuery = paged;
        this.layoutVersion = layout;
        this.partialPages = paged == null ? Map.of() : new IdentityHashMap<>();
        this.countedPages = paged == null ? List.of() : new ArrayList<>();
        this.followUps = paged == null ? List.of() : new ArrayList<>();
    }

    /**
     * What looks whether its client has left, to be called on the thread that serves the client's
     * connection.
     */
    public void setClientCheck(Runnable check) {
        setClientCheck = check;
    }

    void shareClientCheck(InFlightQuery first) {
        setClientCheck = first.setClientCheck;
    }

    @Override
    public void check() {
        setClientCheck.run();
    }

    void addAction(QueryAction step) {
        actions.add(step);
        actionAvailable.signal();
    }
}
