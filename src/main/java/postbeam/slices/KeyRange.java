package postbeam.slices;

/**
 * A non-empty range of keys.
 *
 * @param from the first key, inclusive
 * @param to the end, exclusive
 */
public record KeyRange(long from, long to) implements Comparable<KeyRange> {
    /**
     * The number of keys in the key space. Keys are integers from 0, small enough for JSON parsers
     * to read them exactly.
     */
    public static final long KEY_SPACE_SIZE = 1L << 48;

    /** The whole key space. */
    public static final KeyRange ALL = new KeyRange(0, KEY_SPACE_SIZE);

    /**
     * Creates a range.
     *
     * @throws IllegalArgumentException if it is empty or not within the key space
     */
    public KeyRange {
        if (from < 0 || to > KEY_SPACE_SIZE || from >= to) {
            throw new IllegalArgumentException(
                    "invalid key range from "
                            + from
                            + " to "
                            + to
                            + ": expected 0 <= from < to <= "
                            + KEY_SPACE_SIZE);
        }
    }

    /** The number of keys in the range. */
    public long size() {
        return to - from;
    }

    /** Whether both ranges have a key in common. */
    public boolean overlaps(KeyRange other) {
        return from < other.to && other.from < to;
    }

    /** Whether this range has all keys of the other. */
    public boolean contains(KeyRange other) {
        return from <= other.from && other.to <= to;
    }

    /** The keys that both ranges have in common; the ranges must overlap. */
    public KeyRange intersection(KeyRange other) {
        return new KeyRange(Math.max(from, other.from), Math.min(to, other.to));
    }

    /**
     * The keys of both ranges.
     *
     * @throws IllegalArgumentException if the other range does not begin where this one ends
     */
    public KeyRange joinedWith(KeyRange next) {
        if (to != next.from) {
            throw new IllegalArgumentException(
                    "key range " + next + " does not begin where " + this + " ends");
        }
        return new KeyRange(from, next.to);
    }

    /** The fraction of this range's keys that the other range has too, from 0 to 1. */
    public double overlapFraction(KeyRange other) {
        return overlaps(other) ? (double) intersection(other).size() / size() : 0;
    }

    @Override
    public int compareTo(KeyRange other) {
        return from != other.from ? Long.compare(from, other.from) : Long.compare(to, other.to);
    }

    @Override
    public String toString() {
        return from + "-" + to;
    }
}
