package postbeam.pages;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import postbeam.slices.KeyRange;

/**
 * A row's position in the sort order, which is the same on all replicas.
 *
 * @param sortValues one value for each sort key: a Long, a String, or null if the row has no value
 * @param key the row's key, from 0 to {@link KeyRange#KEY_SPACE_SIZE} exclusive
 * @param sequence distinguishes rows of one key
 */
public record RowPosition(List<Object> sortValues, long key, long sequence) {
    /**
     * Maximum length of a sort value in UTF-8 bytes; it bounds the length of cursors, which contain
     * positions.
     */
    static final int MAX_TEXT_BYTES = 64;

    private static final int FIRST_NON_ASCII = 0x80;

    /** Makes an immutable copy of the sort values. */
    public RowPosition {
        // Values may be null, which List.copyOf does not accept.
        sortValues = Collections.unmodifiableList(new ArrayList<>(sortValues));
    }

    /**
     * Returns a clause that tells why this is no valid position in the order, or empty if it is
     * valid.
     */
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
                            "a sort value is longer than "
                                    + MAX_TEXT_BYTES
                                    + " bytes in UTF-8, or has a lone surrogate");
                }
            } else if (value != null && !(value instanceof Long)) {
                return Optional.of("a sort value is neither a whole number nor a string");
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

    /**
     * Rejects lone surrogates: UTF-8 can't encode them, so a cursor would return another position.
     */
    private static boolean fitsInUtf8(String text) {
        return StandardCharsets.UTF_8.newEncoder().canEncode(text)
                && text.getBytes(StandardCharsets.UTF_8).length <= MAX_TEXT_BYTES;
    }
}
