package postbeam.pages;

import java.util.Comparator;
import java.util.List;

/** The total order of a query's rows: by its sort keys, then by the key, then by the sequence. */
public record SortOrder(List<SortKey> keys) implements Comparator<RowPosition> {
    /**
     * Maximum number of sort keys of a query; it bounds the length of cursors, which contain their
     * values.
     */
    public static final int MAX_KEYS = 4;

    /** Makes an immutable copy of the sort keys. */
    public SortOrder {
        keys = List.copyOf(keys);
    }

    @Override
    public int compare(RowPosition one, RowPosition other) {
        for (int i = 0; i < keys.size(); i++) {
            int byValue = keys.get(i).compare(one.sortValues().get(i), other.sortValues().get(i));
            if (byValue != 0) {
                return byValue;
            }
        }
        int byKey = Long.compare(one.key(), other.key());
        return byKey != 0 ? byKey : Long.compare(one.sequence(), other.sequence());
    }

    /** Returns the later of two positions; null means before the first row. */
    RowPosition later(RowPosition one, RowPosition other) {
        return one == null || (other != null && compare(one, other) < 0) ? other : one;
    }
}
