package postbeam.pages;

import java.util.List;
import postbeam.slices.KeyRange;

/**
 * The current layout and the range of earlier versions that are still known, as paging needs them.
 */
public interface LayoutHistory {
    /** Version of the current layout. */
    long currentVersion();

    /** Oldest layout version whose slices are known. */
    long oldestVersion();

    /**
     * Splits a key range at the slice boundaries of the current layout; returns the parts in key
     * order.
     */
    List<KeyRange> splitBySlices(KeyRange keys);
}
