package postbeam.router;

import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import postbeam.dispatch.QueryAction;
import postbeam.model.Query;

/** The queries that are not ended yet. Guarded by the lock of {@link PolicyExecutor}. */
final class QueryTable {
    /** In order of arrival. */
    private final Map<String, InFlightQuery> byId = new LinkedHashMap<>();

    private final IdentityHashMap<Query, InFlightQuery> byQuery = new IdentityHashMap<>();

    void add(InFlightQuery query) {
        byId.put(query.request().id(), query);
        byQuery.put(query.query(), query);
    }

    boolean containsId(String id) {
        return byId.containsKey(id);
    }

    boolean contains(Query query) {
        return byQuery.containsKey(query);
    }

    /** Null where the query has ended. */
    InFlightQuery get(Query query) {
        return byQuery.get(query);
    }

    /** The longest in flight; null where there is none. */
    InFlightQuery oldest() {
        return byId.isEmpty() ? null : byId.values().iterator().next();
    }

    /** The policy's view of all. */
    Set<Query> queries() {
        return byQuery.keySet();
    }

    int size() {
        return byId.size();
    }

    /** Ends the query with this action; its attempts that are not written yet never will be. */
    void finish(InFlightQuery query, QueryAction finalAction) {
        if (byQuery.remove(query.query()) != null) {
            byId.remove(query.request().id());
            query.abandonAttempts();
            query.addAction(finalAction);
        }
    }
}
