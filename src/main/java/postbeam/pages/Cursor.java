package postbeam.pages;

import java.util.List;

/**
 * The state from which a client's next page continues.
 *
 * @param layoutVersion version of the layout in force when the cursor was created
 * @param queryDigest digest of the query that the cursor belongs to, see {@link QueryDigest#of}
 * @param ranges the key ranges that may have rows left, in key order
 */
public record Cursor(long layoutVersion, long queryDigest, List<RangeProgress> ranges) {
    /** Makes an immutable copy of the ranges. */
    public Cursor {
        ranges = List.copyOf(ranges);
    }
}
