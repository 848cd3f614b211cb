package postbeam.router;

import java.util.List;
import postbeam.pages.LayoutHistory;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;

/** The version history of a layout, against which cursors are checked. */
public record LayoutLineage(Layout layout) implements LayoutHistory {
    @Override
    public long currentVersion() {
        return layout.version;
    }

    @Override
    public long oldestVersion() {
        return layout.oldestVersion;
    }

    @Override
    public List<KeyRange> splitBySlices(KeyRange keys) {
        return layout.overlapping(keys).stream()
                .map(slice -> slice.keys().intersection(keys))
                .toList();
    }
}
