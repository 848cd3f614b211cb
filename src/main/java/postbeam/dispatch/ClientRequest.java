package postbeam.dispatch;

import java.time.Duration;
import java.util.List;
import postbeam.pages.PageRequest;

/**
 * A query as its client requested it.
 *
 * @param id names the query; unique among those in flight
 * @param queryClass by name, as the settings have it
 * @param tenant by name; null where the client states none
 * @param timeout how long the client waits, counted from the query's first byte
 * @param requestedShards empty where a cursor says what to fetch
 * @param payload what data nodes are sent
 * @param layoutVersion by which the client names slices; 0 where it states none
 * @param clientRetry whether the client marks the query as its own retry
 * @param pageRequest null where no page is requested
 */
@SuppressWarnings("ArrayRecordComponent") // Requests are never compared, and payloads are large.
public record ClientRequest(
        String id,
        String queryClass,
        String tenant,
        Duration timeout,
        List<RequestedShard> requestedShards,
        byte[] payload,
        long layoutVersion,
        boolean clientRetry,
        PageRequest pageRequest) {
    /** A first request by fixed shards, without a page. */
    public ClientRequest(
            String id,
            String queryClass,
            String tenant,
            Duration timeout,
            List<RequestedShard> requestedShards,
            byte[] payload) {
        this(id, queryClass, tenant, timeout, requestedShards, payload, 0, false, null);
    }

    /**
     * One shard of a query.
     *
     * @param weight its share of the answer, from 0 to 1
     * @param estimatedWork null where the client gives no estimate
     */
    public record RequestedShard(int shard, double weight, Duration estimatedWork) {}

    /** The request of a follow-up query for the same page, with an id that no client can state. */
    public ClientRequest followUp(int round) {
        return new ClientRequest(
                id + "." + round,
                queryClass,
                tenant,
                timeout,
                requestedShards,
                payload,
                layoutVersion,
                clientRetry,
                pageRequest);
    }

    /** The same request of a client that waits no longer than this. */
    public ClientRequest withTimeoutAtMost(Duration maxTimeout) {
        return timeout.compareTo(maxTimeout) <= 0
                ? this
                : new ClientRequest(
                        id,
                        queryClass,
                        tenant,
                        maxTimeout,
                        requestedShards,
                        payload,
                        layoutVersion,
                        clientRetry,
                        pageRequest);
    }
}
