package postbeam.pages;

import java.util.Comparator;
import java.util.List;

/** The total order of a query's rows: its sort keys, then the key, then the sequence. */
public record Order(List<SortKey> keys) implements Comparator<Mark> {
    /** Sort keys: marks travel in cursors. */
    public static final int KEYS_MOST = 4;

    public Order {
        keys = List.copyOf(keys);
    }

    @Override
    public int compare(Mark one, Mark other) {
        for (int i = 0; i < keys.size(); i++) {
            int way = keys.get(i).compare(one.sort().get(i), other.sort().get(i));
            if (way != 0) {
                return way;
            }
        }
        int way = Long.compare(one.key(), other.key());
        return way != 0 ? way : Long.compare(one.sequence(), other.sequence());
    }

    /** The later; null is before all. */
    Mark later(Mark one, Mark other) {
        return one == null || other != null && compare(one, other) < 0 ? other : one;
    }
}
