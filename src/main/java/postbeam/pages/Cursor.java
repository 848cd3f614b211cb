package postbeam.pages;

import java.util.List;

/**
 * Where a chain of pages stands: the layout it was made under, the digest of its query, and its
 * ranges in order.
 */
public record Cursor(long layoutVersion, long queryDigest, List<RangeProgress> ranges) {
    public Cursor {
        ranges = List.copyOf(ranges);
    }
}
