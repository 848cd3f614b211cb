package postbeam.slices;

import java.util.List;
import java.util.Optional;

/** Checks that key ranges cover the key space exactly once. */
final class Coverage {
    private Coverage() {}

    /**
     * The first gap or overlap of ranges that are sorted by key, in one line; empty if they cover
     * each key exactly once.
     */
    static Optional<String> firstProblem(List<KeyRange> sorted) {
        long end = 0;
        for (KeyRange keys : sorted) {
            if (keys.from() > end) {
                return gap(end, keys.from());
            }
            if (keys.from() < end) {
                return Optional.of(
                        "overlap: two slices hold the keys "
                                + keys.from()
                                + "-"
                                + Math.min(end, keys.to()));
            }
            end = keys.to();
        }
        return end == KeyRange.KEY_SPACE_SIZE
                ? Optional.empty()
                : gap(end, KeyRange.KEY_SPACE_SIZE);
    }

    private static Optional<String> gap(long from, long to) {
        return Optional.of("gap: no slice holds the keys " + from + "-" + to);
    }
}
