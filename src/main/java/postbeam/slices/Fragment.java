package postbeam.slices;

import java.util.ArrayList;
import java.util.List;

/** Some keys of one slice of the layout in force, of which a query wants an answer. */
public record Fragment(int slice, KeyRange keys) implements Comparable<Fragment> {
    /** Cut along the slices of the layout. */
    public static List<Fragment> split(Layout layout, KeyRange keys) {
        List<Fragment> fragments = new ArrayList<>();
        for (Slice slice : layout.overlapping(keys)) {
            fragments.add(new Fragment(slice.number(), keys.intersection(slice.keys())));
        }
        return fragments;
    }

    /** With those that touch within one slice joined: one answer for both. */
    public static List<Fragment> merged(List<Fragment> fragments) {
        List<Fragment> sorted = new ArrayList<>(fragments);
        sorted.sort(null);
        List<Fragment> joined = new ArrayList<>();
        for (Fragment next : sorted) {
            Fragment last = joined.isEmpty() ? null : joined.get(joined.size() - 1);
            if (last != null && last.slice == next.slice && last.keys.to() == next.keys.from()) {
                joined.set(
                        joined.size() - 1,
                        new Fragment(last.slice, last.keys.joinedWith(next.keys)));
            } else {
                joined.add(next);
            }
        }
        return joined;
    }

    @Override
    public int compareTo(Fragment other) {
        return keys.compareTo(other.keys);
    }
}
