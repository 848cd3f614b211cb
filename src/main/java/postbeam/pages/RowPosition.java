package postbeam.pages;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import postbeam.slices.KeyRange;

/**
 * A row's place in the sort order, the same at all replicas.
 *
 * @param sortValues one for each sort key: a Long, a String, or null where the row has no value
 * @param key in the key space
 * @param sequence distinguishes rows of one key
 */
public record RowPosition(List<Object> sortValues, long key, long sequence) {
    /** Bytes in UTF-8 of a sort value: positions travel in cursors. */
    static final int MAX_TEXT_BYTES = 64;

    private static final int FIRST_NON_ASCII = 0x80;

    /** Copies the sort values. */
    public RowPosition {
        // Values may be null, which List.copyOf does not accept.
        sortValues = Collections.unmodifiableList(new ArrayList<>(sortValues));
    }

    /** Why it can't be a position in this order, in a clause; empty where it can. */
    Optional<String> findProblem(SortOrder order) {
        if (sortValues.size() != order.keys().size()) {
            return Optional.of(
                    "it has " + sortValues.size() + " sort values, not " + order.keys().size());
        }
        if (key < 0 || key >= KeyRange.KEY_SPACE_SIZE) {
            return Optional.of("its key " + key + " is outside the key space");
        }
        for (Object value : sortValues) {
            if (value instanceof String text) {
                if (!isShortText(text)) {
                    return Optional.of(
                            "a sort value is longer than " + MAX_TEXT_BYTES + " bytes, or no text");
                }
            } else if (value != null && !(value instanceof Long)) {
                return Optional.of("a sort value is neither a whole number nor a text");
            }
        }
        return Optional.empty();
    }

    private static boolean isShortText(String text) {
        return text.length() <= MAX_TEXT_BYTES && (isAscii(text) || fitsInUtf8(text));
    }

    private static boolean isAscii(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) >= FIRST_NON_ASCII) {
                return false;
            }
        }
        return true;
    }

    /** A lone surrogate has no bytes of its own: its position would come back as another. */
    private static boolean fitsInUtf8(String text) {
        return StandardCharsets.UTF_8.newEncoder().canEncode(text)
                && text.getBytes(StandardCharsets.UTF_8).length <= MAX_TEXT_BYTES;
    }
}
