package postbeam.slices;

import java.util.List;
import java.util.Optional;

/** Whether ranges cover the key space once. */
final class Coverage {
    private Coverage() {}

    /**
     * The first gap or overlap of ranges that are sorted, in a line; empty where they cover all
     * keys once.
     */
    static Optional<String> firstProblem(List<KeyRange> sorted) {
        long end = 0;
        for (KeyRange keys : sorted) {
            if (keys.from() > end) {
                return Optional.of("gap: no slice holds the keys " + end + "-" + keys.from());
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
                : Optional.of(
                        "gap: no slice holds the keys " + end + "-" + KeyRange.KEY_SPACE_SIZE);
    }
}
