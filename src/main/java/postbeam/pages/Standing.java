package postbeam.pages;

import postbeam.slices.KeyRange;

/**
 * Where a range of keys stands: its share of the answer, and the mark up to which it has been
 * given; null: none.
 */
public record Standing(KeyRange keys, double weight, Mark after) {
    /** The part of it that lies within these keys, its weight by the keys. */
    Standing within(KeyRange part) {
        KeyRange common = keys.common(part);
        return new Standing(common, weight * common.size() / keys.size(), after);
    }

    Standing at(Mark mark) {
        return new Standing(keys, weight, mark);
    }
}
