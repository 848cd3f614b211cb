package postbeam.slices;

import java.time.Duration;
import postbeam.state.Part;
import postbeam.state.Query;

/** A part of a query that asks for some keys of one slice. */
public final class Piece extends Part {
    public final KeyRange keys;

    public Piece(Query query, int slice, KeyRange keys, double weight, Duration work) {
        super(query, slice, weight, work);
        this.keys = keys;
    }
}
