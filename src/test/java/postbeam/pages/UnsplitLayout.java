package postbeam.pages;

import java.util.List;
import postbeam.slices.KeyRange;

/** A layout with one slice, which has all keys. */
record UnsplitLayout(long currentVersion, long oldestVersion) implements LayoutHistory {
    @Override
    public List<KeyRange> splitBySlices(KeyRange keys) {
        return List.of(keys);
    }
}
