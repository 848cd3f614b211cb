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
public record RowPosition(List<Object> sortValues, long key, long sequence) {
    /** Bytes in UTF-8 of a sort value: marks travel in cursors. */
    static final int MAX_TEXT_BYTES = 64;

    public RowPosition {
        // Values may be missing, which List.copyOf does not take.
        sortValues = Collections.unmodifiableList(new ArrayList<>(sortValues));
    }

    /** What keeps it from being a mark of this order, in a clause; null where nothing does. */
    String findProblem(SortOrder order) {
        if (sortValues.size() != order.keys().size()) {
            return "it has " + sortValues.size() + " sort values, not " + order.keys().size();
        }
        if (key < 0 || key >= KeyRange.KEY_SPACE_SIZE) {
            return "its key " + key + " is outside the key space";
        }
        for (Object value : sortValues) {
            if (value instanceof String text) {
                if (text.length() > MAX_TEXT_BYTES || !isAscii(text) && !fitsInUtf8(text)) {
                    return "a sort value is longer than " + MAX_TEXT_BYTES + " bytes, or no text";
                }
            } else if (value != null && !(value instanceof Long)) {
                return "a sort value is neither a whole number nor a text";
            }
        }
        return null;
    }

    private static boolean isAscii(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) >= 0x80) {
                return false;
            }
        }
        return true;
    }

    /** Half a code point has no bytes of its own: its mark would come back as another. */
    private static boolean fitsInUtf8(String text) {
        return StandardCharsets.UTF_8.newEncoder().canEncode(text)
                && text.getBytes(StandardCharsets.UTF_8).length <= MAX_TEXT_BYTES;
    }
}
