package postbeam.slices;

/** The keys from one (taken in) to another (left out), of a space from 0 to {@link #KEYS}. */
public record KeyRange(long from, long to) implements Comparable<KeyRange> {
    /** Keys there are: whole numbers that JSON's readers keep exact, and many cuts to spare. */
    public static final long KEY_SPACE_SIZE = 1L << 48;

    public static final KeyRange ALL = new KeyRange(0, KEY_SPACE_SIZE);

    public KeyRange {
        if (from < 0 || to > KEY_SPACE_SIZE || from >= to) {
            throw new IllegalArgumentException("no range of keys: from " + from + " to " + to);
        }
    }

    public long size() {
        return to - from;
    }

    public boolean overlaps(KeyRange other) {
        return from < other.to && other.from < to;
    }

    public boolean contains(KeyRange other) {
        return from <= other.from && other.to <= to;
    }

    /** The keys in both, which must meet. */
    public KeyRange intersection(KeyRange other) {
        return new KeyRange(Math.max(from, other.from), Math.min(to, other.to));
    }

    /** The keys of both, which must touch. */
    public KeyRange joinedWith(KeyRange next) {
        if (to != next.from) {
            throw new IllegalArgumentException(this + " does not touch " + next);
        }
        return new KeyRange(from, next.to);
    }

    /** How much of this the other holds, from 0 to 1. */
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
