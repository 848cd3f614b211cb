package postbeam.pages;

/**
 * One key of a sort order. A sort value is a Long, a String, or null if the row has no value.
 *
 * @param field the name of the row's field
 * @param missingFirst whether rows without a value come first (true) or last (false), in both
 *     directions
 */
public record SortKey(String field, boolean descending, boolean missingFirst) {
    int compare(Object one, Object other) {
        if (one == null || other == null) {
            int missingLast = Boolean.compare(one == null, other == null);
            return missingFirst ? -missingLast : missingLast;
        }
        int ascending = compareAscending(one, other);
        return descending ? -ascending : ascending;
    }

    /**
     * Numbers come before strings; strings are ordered by code points, as their UTF-8 bytes are.
     */
    private static int compareAscending(Object one, Object other) {
        if (one instanceof Long number) {
            return other instanceof Long otherNumber ? Long.compare(number, otherNumber) : -1;
        }
        return other instanceof Long ? 1 : compareByCodePoints((String) one, (String) other);
    }

    private static int compareByCodePoints(String one, String other) {
        int length = Math.min(one.length(), other.length());
        for (int i = 0; i < length; i++) {
            char a = one.charAt(i);
            char b = other.charAt(i);
            if (a != b) {
                return compareDifferentChars(a, b);
            }
        }
        return Integer.compare(one.length(), other.length());
    }

    /**
     * Surrogates encode code points above U+FFFF, so they come after all other chars, although some
     * chars have larger values.
     */
    private static int compareDifferentChars(char a, char b) {
        if (Character.isSurrogate(a) == Character.isSurrogate(b)) {
            return Character.compare(a, b);
        }
        return Character.isSurrogate(a) ? 1 : -1;
    }

    @Override
    public String toString() {
        return field
                + (descending ? " descending" : " ascending")
                + (missingFirst ? ", missing first" : ", missing last");
    }
}
