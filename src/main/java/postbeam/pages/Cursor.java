package postbeam.pages;

import java.util.List;

/**
 * From where a client's next page goes on.
 *
 * @param layoutVersion of the layout that it was made under
 * @param queryDigest of the query that it belongs to, see {@link QueryDigest#of}
 * @param ranges that have rows left, in the order of their keys
 */
public record Cursor(long layoutVersion, long queryDigest, List<RangeProgress> ranges) {
    /** Copies the ranges. */
    public Cursor {
        ranges = List.copyOf(ranges);
    }
}
