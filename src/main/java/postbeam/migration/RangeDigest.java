package postbeam.migration;

import postbeam.slices.KeyRange;

/**
 * What a node has of some keys of a slice.
 *
 * @param pendingWrites writes that it has accepted and not applied yet
 * @param lastWrite sequence number of the last write, as its first holder gave it; 0 for none
 * @param rows how many there are
 * @param bytes what a copy of them takes
 * @param digest SHA-256 over the rows in the order of their keys, in hexadecimal digits
 */
public record RangeDigest(
        KeyRange range, int pendingWrites, long lastWrite, long rows, long bytes, String digest) {
    /** Whether both replicas are at rest and equal. */
    boolean matches(RangeDigest other) {
        return pendingWrites == 0 && other.pendingWrites == 0 && hasSameContent(other);
    }

    boolean hasSameContent(RangeDigest other) {
        return lastWrite == other.lastWrite && rows == other.rows && digest.equals(other.digest);
    }
}
