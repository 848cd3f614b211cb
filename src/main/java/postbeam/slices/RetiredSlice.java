package postbeam.slices;

import java.util.List;

/**
 * A slice that was split or merged.
 *
 * @param createdVersion the layout version in which it was created
 * @param retiredVersion the first layout version without it
 * @param children the slices that replaced it
 */
public record RetiredSlice(
        int number,
        KeyRange keys,
        long createdVersion,
        long retiredVersion,
        List<Integer> children) {
    /** A slice that is no more. */
    public RetiredSlice {
        children = List.copyOf(children);
    }
}
