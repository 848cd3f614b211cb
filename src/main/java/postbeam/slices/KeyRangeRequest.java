package postbeam.slices;

import java.time.Duration;
import postbeam.model.Query;
import postbeam.model.ShardRequest;

/** A part of a query that asks for keys of one slice. */
public final class KeyRangeRequest extends ShardRequest {
    /** The keys that it asks for. */
    public final KeyRange keys;

    /**
     * Adds a part to a query.
     *
     * @param weight its share of the answer
     * @param estimatedWork the estimate of its work; null where there is none
     */
    public KeyRangeRequest(
            Query query, int slice, KeyRange keys, double weight, Duration estimatedWork) {
        super(query, slice, weight, estimatedWork);
        this.keys = keys;
    }
}
