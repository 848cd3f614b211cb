package postbeam.pages;

import java.util.List;
import postbeam.slices.KeyRange;

/**
 * What pages need to know of the layout in force: whose versions it knows, and what became of keys.
 */
public interface LayoutHistory {
    long currentVersion();

    /** The oldest version whose slices it knows. */
    long oldestVersion();

    /** These keys, cut along the slices in force. */
    List<KeyRange> splitBySlices(KeyRange keys);
}
