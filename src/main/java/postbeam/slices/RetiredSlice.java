package postbeam.slices;

import java.util.List;

/** A slice that was cut into others or joined with others, and which came of it. */
public record RetiredSlice(
        int number,
        KeyRange keys,
        long createdVersion,
        long retiredVersion,
        List<Integer> children) {
    public RetiredSlice {
        children = List.copyOf(children);
    }
}
