package postbeam.pages;

import java.util.List;
import postbeam.slices.KeyRange;

/** What pages need to know of the layout in force and of those before. */
public interface LayoutHistory {
    /** The version of the layout in force. */
    long currentVersion();

    /** The oldest version whose slices are known. */
    long oldestVersion();

    /** These keys, split along the slices in force, in the order of the keys. */
    List<KeyRange> splitBySlices(KeyRange keys);
}
