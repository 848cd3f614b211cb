package postbeam.slices;

/**
 * The keys from one to another.
 *
 * @param from the first key
 * @param to the key behind the last one
 */
public record KeyRange(long from, long to) implements Comparable<KeyRange> {
    /** How many keys there are: keys are whole numbers from 0 on that JSON readers keep exact. */
    public static final long KEY_SPACE_SIZE = 1L << 48;

    /** The whole key space. */
    public static final KeyRange ALL = new KeyRange(0, KEY_SPACE_SIZE);

    /** A range with at least one key; an IllegalArgumentException where it is none. */
    public KeyRange {
        if (from < 0 || to > KEY_SPACE_SIZE || from >= to) {
            throw new IllegalArgumentException("no range of keys: from " + from + " to " + to);
        }
    }

    /** How many keys it has. */
    public long size() {
        return to - from;
    }

    /** Whether both have a key in common. */
    public boolean overlaps(KeyRange other) {
        return from < other.to && other.from < to;
    }

    /** Whether it has all keys of the other. */
    public boolean contains(KeyRange other) {
        return from <= other.from && other.to <= to;
    }

    /** The keys in both, which must overlap. */
    public KeyRange intersection(KeyRange other) {
        return new KeyRange(Math.max(from, other.from), Math.min(to, other.to));
    }

    /** The keys of both; the other must begin where this one ends. */
    public KeyRange joinedWith(KeyRange next) {
        if (to != next.from) {
            throw new IllegalArgumentException(this + " does not touch " + next);
        }
        return new KeyRange(from, next.to);
    }

    /** The fraction of its keys that are in the other, from 0 to 1. */
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
