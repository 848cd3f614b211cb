package postbeam.dispatch;

import java.time.Duration;
import java.util.List;
import postbeam.pages.PageRequest;

/**
 * A query as its client asked it; the patience counts from when its first byte was seen. The layout
 * is the version by which it names its shards, 0 where it names none; a repeat is what its client
 * marks as one; the page is null where none is asked for.
 */
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
    public ClientRequest(
            String id,
            String vertical,
            String owner,
            Duration patience,
            List<RequestedShard> parts,
            byte[] text) {
        this(id, vertical, owner, patience, parts, text, 0, false, null);
    }

    /** One shard's part: its share of the answer and, where a guess came, its work. */
    public record RequestedShard(int shard, double weight, Duration estimatedWork) {}

    /** The same under an id of its own, which no client's can be: asking again for its page. */
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

    /** The same, with a client of no more patience than this. */
    public ClientRequest withTimeoutAtMost(Duration most) {
        return timeout.compareTo(most) <= 0
                ? this
                : new ClientRequest(
                        id,
                        queryClass,
                        tenant,
                        most,
                        requestedShards,
                        payload,
                        layoutVersion,
                        clientRetry,
                        pageRequest);
    }
}
