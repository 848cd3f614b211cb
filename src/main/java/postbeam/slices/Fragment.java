package postbeam.slices;

import java.util.ArrayList;
import java.util.List;

/** A range of keys that a query requests, within one slice of the current layout. */
public record Fragment(int slice, KeyRange keys) implements Comparable<Fragment> {
    /** Splits a key range at the slice boundaries of a layout. */
    public static List<Fragment> split(Layout layout, KeyRange keys) {
        List<Fragment> fragments = new ArrayList<>();
        for (Slice slice : layout.overlapping(keys)) {
            fragments.add(new Fragment(slice.number(), keys.intersection(slice.keys())));
        }
        return fragments;
    }

    /** The fragments in key order, with adjacent fragments of the same slice merged. */
    public static List<Fragment> merged(List<Fragment> fragments) {
        List<Fragment> sorted = new ArrayList<>(fragments);
        sorted.sort(null);
        List<Fragment> merged = new ArrayList<>();
        for (Fragment next : sorted) {
            Fragment last = merged.isEmpty() ? null : merged.get(merged.size() - 1);
            if (last != null && last.isFollowedBy(next)) {
                merged.set(
                        merged.size() - 1,
                        new Fragment(last.slice, last.keys.joinedWith(next.keys)));
            } else {
                merged.add(next);
            }
        }
        return merged;
    }

    private boolean isFollowedBy(Fragment next) {
        return slice == next.slice && keys.to() == next.keys.from();
    }

    @Override
    public int compareTo(Fragment other) {
        return keys.compareTo(other.keys);
    }
}
