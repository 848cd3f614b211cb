package postbeam.slices;

import java.util.List;

/**
 * A slice that was split or merged and is no longer in the layout.
 *
 * @param createdVersion the layout version in which it was created
 * @param retiredVersion the first layout version without it
 * @param children the numbers of the slices that replaced it
 */
public record RetiredSlice(
        int number,
        KeyRange keys,
        long createdVersion,
        long retiredVersion,
        List<Integer> children) {
    /** Creates a retired slice with a copy of the list. */
    public RetiredSlice {
        children = List.copyOf(children);
    }
}
