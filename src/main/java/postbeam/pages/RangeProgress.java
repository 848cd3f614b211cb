package postbeam.pages;

import postbeam.slices.KeyRange;

/**
 * Where a range of keys stands: its share of the answer, and the mark up to which it has been
 * given; null: none.
 */
public record RangeProgress(KeyRange range, double weight, RowPosition after) {
    /** The part of it that lies within these keys, its weight by the keys. */
    RangeProgress restrictedTo(KeyRange part) {
        KeyRange common = range.intersection(part);
        return new RangeProgress(common, weight * common.size() / range.size(), after);
    }

    RangeProgress advancedTo(RowPosition mark) {
        return new RangeProgress(range, weight, mark);
    }
}
