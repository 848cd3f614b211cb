package postbeam.router;

import java.util.List;
import postbeam.pages.Lineage;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;

/** What pages need to know of a layout. */
public record LayoutLineage(Layout layout) implements Lineage {
    @Override
    public long version() {
        return layout.version;
    }

    @Override
    public long oldest() {
        return layout.oldest;
    }

    @Override
    public List<KeyRange> cut(KeyRange keys) {
        return layout.meeting(keys).stream().map(slice -> slice.keys().common(keys)).toList();
    }
}
