package postbeam.pages;

import postbeam.slices.KeyRange;

/**
 * How far the rows of a key range have been returned to the client.
 *
 * @param weight the range's share of the answer, as the client sent it
 * @param after the position up to which all rows were returned; null if none were
 */
public record RangeProgress(KeyRange range, double weight, RowPosition after) {
    /** Returns the part within these keys; its weight is proportional to its number of keys. */
    RangeProgress restrictedTo(KeyRange keys) {
        KeyRange common = range.intersection(keys);
        return new RangeProgress(common, weight * common.size() / range.size(), after);
    }

    /** Returns the same range at another position; null means before the first row. */
    RangeProgress advancedTo(RowPosition position) {
        return new RangeProgress(range, weight, position);
    }
}
