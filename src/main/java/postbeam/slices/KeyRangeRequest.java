package postbeam.slices;

import java.time.Duration;
import postbeam.model.Query;
import postbeam.model.ShardRequest;

/** A shard request for keys of one slice. */
public final class KeyRangeRequest extends ShardRequest {
    /** The requested keys, all within the slice. */
    public final KeyRange keys;

    /**
     * Creates a request and adds it to the query.
     *
     * @param weight its share of the answer's weight
     * @param estimatedWork the estimated work of a node; null if there is no estimate
     */
    public KeyRangeRequest(
            Query query, int slice, KeyRange keys, double weight, Duration estimatedWork) {
        super(query, slice, weight, estimatedWork);
        this.keys = keys;
    }
}
