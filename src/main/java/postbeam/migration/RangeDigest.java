package postbeam.migration;

import postbeam.slices.KeyRange;

/**
 * Summary of the rows that a node holds in a key range of a slice.
 *
 * @param pendingWrites number of writes that the node has accepted and not applied yet
 * @param lastWrite sequence number of the last write, assigned by the slice's first holder; 0 if
 *     there is none
 * @param rows number of rows
 * @param bytes size of a copy of the rows
 * @param digest SHA-256 over the rows in the order of their keys, in hexadecimal digits
 */
public record RangeDigest(
        KeyRange range, int pendingWrites, long lastWrite, long rows, long bytes, String digest) {
    /** Whether both replicas have the same content and no pending writes. */
    boolean matches(RangeDigest other) {
        return pendingWrites == 0 && other.pendingWrites == 0 && hasSameContent(other);
    }

    boolean hasSameContent(RangeDigest other) {
        return lastWrite == other.lastWrite && rows == other.rows && digest.equals(other.digest);
    }
}
