package postbeam.migration;

import postbeam.slices.KeyRange;

/**
 * What a node says of some keys of a slice.
 *
 * @param open writes that it has taken and not done
 * @param mark of the last write, as it came with it from where it was made; 0 for none
 * @param rows how many there are
 * @param bytes what a copy of them takes
 * @param digest SHA-256 over the rows in the order of their keys, in hexadecimal digits
 */
public record RangeDigest(
        KeyRange range, int pendingWrites, long lastWrite, long rows, long bytes, String digest) {
    /** Both stand at the same write and have the same. */
    boolean matches(RangeDigest other) {
        return pendingWrites == 0 && other.pendingWrites == 0 && hasSameContent(other);
    }

    boolean hasSameContent(RangeDigest other) {
        return lastWrite == other.lastWrite && rows == other.rows && digest.equals(other.digest);
    }
}
