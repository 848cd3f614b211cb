package postbeam.slices;

import java.util.List;

/** A slice that was cut into others or joined with others, and which came of it. */
public record Retired(int number, KeyRange keys, long bornIn, long diedIn, List<Integer> children) {
    public Retired {
        children = List.copyOf(children);
    }
}
