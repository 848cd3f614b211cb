package postbeam.slices;

import java.time.Duration;
import postbeam.model.Query;
import postbeam.model.ShardRequest;

/** A part of a query that asks for some keys of one slice. */
public final class KeyRangeRequest extends ShardRequest {
    public final KeyRange keys;

    public KeyRangeRequest(Query query, int slice, KeyRange keys, double weight, Duration work) {
        super(query, slice, weight, work);
        this.keys = keys;
    }
}
