package postbeam.dispatch;

import java.time.Duration;
import java.util.List;
import postbeam.pages.PageRequest;

/**
 * A query as its client requested it.
 *
 * @param id identifies the query; unique among the queries in flight
 * @param queryClass name of the query class in the settings
 * @param tenant name of the tenant; null if the client names none
 * @param timeout time that the client waits, from the first byte of the query
 * @param requestedShards shards to query; empty if a cursor determines what to fetch
 * @param payload bytes that are sent to data nodes
 * @param layoutVersion version of the layout whose slices the client names; 0 if the client states
 *     none
 * @param clientRetry whether the client marked the query as a retry
 * @param pageRequest the requested page; null if the client requests none
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
    /**
     * Memory that one requested shard takes while its query is in flight, with its attempts and
     * their timers.
     */
    private static final int BYTES_PER_SHARD = 512;

    /** Creates a first request, not a retry, for fixed shards and without a page. */
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
     * @param weight share of the shard in the answer, from 0 to 1
     * @param estimatedWork time that a data node works on it; null if the client gives no estimate
     */
    public record RequestedShard(int shard, double weight, Duration estimatedWork) {}

    /**
     * Returns the request for a further query that fetches rows still missing from the same page.
     * Its id is one that no client can choose.
     */
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

    /** Estimates the memory that the query takes on the heap while it is in flight, in bytes. */
    public long estimatedBytes() {
        return payload.length + (long) requestedShards.size() * BYTES_PER_SHARD;
    }

    /** Returns the same request with a timeout of at most {@code maxTimeout}. */
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
