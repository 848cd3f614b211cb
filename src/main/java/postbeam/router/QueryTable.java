package postbeam.router;

import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import postbeam.dispatch.QueryAction;
import postbeam.model.Query;

/** The queries in flight. Guarded by the lock of {@link PolicyExecutor}. */
final class QueryTable {
    /** Queries in flight by id, in order of arrival. */
    private final Map<String, InFlightQuery> byId = new LinkedHashMap<>();

    private final IdentityHashMap<Query, InFlightQuery> byQuery = new IdentityHashMap<>();

    /** Ids of ended queries for which attempts were made. */
    private final RecentIds attemptedIds = new RecentIds();

    void add(InFlightQuery query) {
        byId.put(query.request().id(), query);
        byQuery.put(query.query(), query);
    }

    /** Whether a query with this client-assigned id is in flight. */
    boolean containsId(String id) {
        return byId.containsKey(id);
    }

    /**
     * Whether attempts were made for an ended query with this id, so that data nodes may still work
     * on them or may have executed them.
     */
    boolean wasAttempted(String id) {
        return attemptedIds.contains(id);
    }

    boolean contains(Query query) {
        return byQuery.containsKey(query);
    }

    /** Returns the query in flight; null if it has ended. */
    InFlightQuery get(Query query) {
        return byQuery.get(query);
    }

    /** Returns the query that has been in flight for longest; null if there is none. */
    InFlightQuery oldest() {
        return byId.isEmpty() ? null : byId.values().iterator().next();
    }

    /** The policy's objects of all queries in flight. */
    Set<Query> queries() {
        return byQuery.keySet();
    }

    int size() {
        return byId.size();
    }

    /**
     * Ends the query with this action; its attempts that are not written yet never will be. Does
     * nothing if the query has already ended.
     */
    void finish(InFlightQuery query, QueryAction finalAction) {
        if (byQuery.remove(query.query()) != null) {
            byId.remove(query.request().id());
            if (query.hasAttempts()) {
                attemptedIds.add(query.request().id());
            }
            query.abandonAttempts();
            query.addAction(finalAction);
        }
    }
}
