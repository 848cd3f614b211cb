package postbeam.pages;

import java.util.Comparator;
import java.util.List;

/** The total order of a query's rows: its sort keys, then the key, then the sequence. */
public record SortOrder(List<SortKey> keys) implements Comparator<RowPosition> {
    /** Sort keys: marks travel in cursors. */
    public static final int MAX_KEYS = 4;

    public SortOrder {
        keys = List.copyOf(keys);
    }

    @Override
    public int compare(RowPosition one, RowPosition other) {
        for (int i = 0; i < keys.size(); i++) {
            int way = keys.get(i).compare(one.sortValues().get(i), other.sortValues().get(i));
            if (way != 0) {
                return way;
            }
        }
        int way = Long.compare(one.key(), other.key());
        return way != 0 ? way : Long.compare(one.sequence(), other.sequence());
    }

    /** The later; null is before all. */
    RowPosition later(RowPosition one, RowPosition other) {
        return one == null || other != null && compare(one, other) < 0 ? other : one;
    }
}
