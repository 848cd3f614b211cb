package postbeam.pages;

import postbeam.slices.KeyRange;

/**
 * How far the rows of some keys have been given to the client.
 *
 * @param weight the keys' share of the answer, as the client has it
 * @param after the position up to which they were given; null where none was
 */
public record RangeProgress(KeyRange range, double weight, RowPosition after) {
    /** The part that lies within these keys, with its share of the weight by the number of keys. */
    RangeProgress restrictedTo(KeyRange keys) {
        KeyRange common = range.intersection(keys);
        return new RangeProgress(common, weight * common.size() / range.size(), after);
    }

    /** The same keys, given up to this position; null where none was given. */
    RangeProgress advancedTo(RowPosition position) {
        return new RangeProgress(range, weight, position);
    }
}
