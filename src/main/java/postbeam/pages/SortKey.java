package postbeam.pages;

/**
 * One key of an order. A value is a Long, a String or null, which is missing; missing ones come
 * first or last whichever way the others go.
 */
public record SortKey(String field, boolean descending, boolean missingFirst) {
    int compare(Object one, Object other) {
        if (one == null || other == null) {
            int missing = Boolean.compare(one == null, other == null);
            return missingFirst ? -missing : missing;
        }
        int way = compareAscending(one, other);
        return descending ? -way : way;
    }

    /** Numbers come before texts; texts go by code points, as their bytes in UTF-8 do. */
    private static int compareAscending(Object one, Object other) {
        if (one instanceof Long number) {
            return other instanceof Long second ? Long.compare(number, second) : -1;
        }
        return other instanceof Long ? 1 : compareByCodePoints((String) one, (String) other);
    }

    private static int compareByCodePoints(String one, String other) {
        int least = Math.min(one.length(), other.length());
        for (int i = 0; i < least; i++) {
            char a = one.charAt(i);
            char b = other.charAt(i);
            if (a != b) {
                // The halves of code points above U+FFFF come after all else, though their numbers
                // don't.
                return Character.isSurrogate(a) == Character.isSurrogate(b)
                        ? Character.compare(a, b)
                        : Character.isSurrogate(a) ? 1 : -1;
            }
        }
        return Integer.compare(one.length(), other.length());
    }

    @Override
    public String toString() {
        return field
                + (descending ? " descending" : " ascending")
                + (missingFirst ? ", missing first" : ", missing last");
    }
}
