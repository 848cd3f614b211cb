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
public record Said(KeyRange keys, int open, long mark, long rows, long bytes, String digest) {
    /** Both stand at the same write and have the same. */
    boolean agrees(Said other) {
        return open == 0 && other.open == 0 && same(other);
    }

    boolean same(Said other) {
        return mark == other.mark && rows == other.rows && digest.equals(other.digest);
    }
}
