package postbeam.pages;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import postbeam.slices.KeyRange;

/**
 * A row's place in the total order: sort values, key in the key space, and sequence, the same at
 * all holders.
 */
public record Mark(List<Object> sort, long key, long sequence) {
    /** Bytes in UTF-8 of a sort value: marks travel in cursors. */
    static final int TEXT_MOST = 64;

    public Mark {
        // Values may be missing, which List.copyOf does not take.
        sort = Collections.unmodifiableList(new ArrayList<>(sort));
    }

    /** What keeps it from being a mark of this order, in a clause; null where nothing does. */
    String problem(Order order) {
        if (sort.size() != order.keys().size()) {
            return "it has " + sort.size() + " sort values, not " + order.keys().size();
        }
        if (key < 0 || key >= KeyRange.KEYS) {
            return "its key " + key + " is outside the key space";
        }
        for (Object value : sort) {
            if (value instanceof String text) {
                if (text.length() > TEXT_MOST || !plain(text) && !fits(text)) {
                    return "a sort value is longer than " + TEXT_MOST + " bytes, or no text";
                }
            } else if (value != null && !(value instanceof Long)) {
                return "a sort value is neither a whole number nor a text";
            }
        }
        return null;
    }

    private static boolean plain(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) >= 0x80) {
                return false;
            }
        }
        return true;
    }

    /** Half a code point has no bytes of its own: its mark would come back as another. */
    private static boolean fits(String text) {
        return StandardCharsets.UTF_8.newEncoder().canEncode(text)
                && text.getBytes(StandardCharsets.UTF_8).length <= TEXT_MOST;
    }
}
