package postbeam.simulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import postbeam.model.Query;
import postbeam.model.ShardRequest;

/**
 * The queries and shard requests of one simulated router, by their ids on the wire. A query has an
 * id, and a number with which its shard requests refer to it. A query is removed after it has
 * ended; its shard requests are removed after that, each when it has no attempt in flight.
 */
final class SimulatedQueryTable {
    private record QueryKey(String id, long number) {}

    private final Map<String, Query> queriesById = new HashMap<>();
    private final Map<Long, Query> queriesByNumber = new HashMap<>();
    private final Map<Query, QueryKey> queryKeys = new HashMap<>();
    private final Map<String, ShardRequest> requestsById = new HashMap<>();
    private final Map<ShardRequest, String> requestIds = new HashMap<>();

    void add(String id, long number, Query query) {
        queriesById.put(id, query);
        queriesByNumber.put(number, query);
        queryKeys.put(query, new QueryKey(id, number));
    }

    void add(String id, ShardRequest request) {
        requestsById.put(id, request);
        requestIds.put(request, id);
    }

    /** Returns the query with this id; null if it is unknown or was removed. */
    Query query(String id) {
        return queriesById.get(id);
    }

    /** Returns the query with this number; null if it is unknown or was removed. */
    Query query(long number) {
        return queriesByNumber.get(number);
    }

    /** Returns the shard request with this id; null if it is unknown or was removed. */
    ShardRequest request(String id) {
        return requestsById.get(id);
    }

    /** Returns the id of a query; null if it was removed. */
    String id(Query query) {
        QueryKey key = queryKeys.get(query);
        return key == null ? null : key.id;
    }

    /** Returns the id of a shard request; null if it was removed. */
    String id(ShardRequest request) {
        return requestIds.get(request);
    }

    /** Removes a query that has ended, and its shard requests without attempts in flight. */
    void removeIfEnded(Query query) {
        if (!query.hasEnded()) {
            return;
        }
        QueryKey key = queryKeys.remove(query);
        if (key != null) {
            queriesById.remove(key.id);
            queriesByNumber.remove(key.number, query);
        }
        removeIdle(query.shardRequests);
        removeIdle(query.firstStepRequests);
    }

    private void removeIdle(List<ShardRequest> requests) {
        for (ShardRequest request : requests) {
            if (request.attemptsInFlight.isEmpty()) {
                requestsById.remove(requestIds.remove(request));
            }
        }
    }
}
