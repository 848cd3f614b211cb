package postbeam.slices;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.Supplier;
import postbeam.state.Counting;
import postbeam.state.Part;
import postbeam.state.Query;

/**
 * What a query is held against: the slices that its client named, and those in force now. A slice
 * counts where all keys that the query wants of it are in; what counts is the larger sum of the
 * two. Guards the floor and the whole mark against a mix of both, where half a slice of each would
 * pass for one.
 */
public final class Pin implements Counting {
    /**
     * A slice as the client named it, with its share of the answer and, where a guess came, its
     * work.
     */
    public record Named(int slice, KeyRange keys, double weight, Duration work) {}

    /** Which parts count, and the version whose slices they make whole. */
    public record Counted(long version, List<Piece> pieces) {}

    public final long version;
    private final List<Named> named;
    private final Supplier<Layout> inForce;

    /** Parts and slices are no longer one and the same. */
    private boolean recut;

    Pin(long version, List<Named> named, Supplier<Layout> inForce, boolean recut) {
        this.version = version;
        this.named = named.stream().sorted(Comparator.comparing(Named::keys)).toList();
        this.inForce = inForce;
        this.recut = recut;
    }

    void recut() {
        recut = true;
    }

    /**
     * The weight of keys: by what the client gave each slice that it named, however often they were
     * cut and joined since. Within one of these it goes by the keys.
     */
    double weightOf(KeyRange keys) {
        double sum = 0;
        for (Named one : meeting(keys)) {
            sum += one.weight() * one.keys().share(keys);
        }
        return sum;
    }

    /** The work of keys, in the same way; null where any of it was not guessed. */
    Duration workOf(KeyRange keys) {
        double nanos = 0;
        for (Named one : meeting(keys)) {
            if (one.work() == null) {
                return null;
            }
            nanos += one.work().toNanos() * one.keys().share(keys);
        }
        return Duration.ofNanos(Math.round(nanos));
    }

    @Override
    public double weight(Query query, Predicate<Part> which) {
        if (!recut) {
            double sum = 0;
            for (Part part : query.parts) {
                sum += which.test(part) ? part.weight : 0;
            }
            return sum;
        }
        return Math.max(weight(byNamed(query, which)), weight(inForce(query, which)));
    }

    /** What of the merged parts goes into an answer. */
    public Counted counted(Query query) {
        Predicate<Part> merged = Part::isAnswered;
        if (!recut) {
            return new Counted(
                    version, query.parts.stream().filter(merged).map(Piece.class::cast).toList());
        }
        List<Piece> asNamed = byNamed(query, merged);
        List<Piece> now = inForce(query, merged);
        return weight(now) > weight(asNamed)
                ? new Counted(inForce.get().version, now)
                : new Counted(version, asNamed);
    }

    /** The slices, as its client named them, that hold any of these keys. */
    public List<Integer> namesOf(KeyRange keys) {
        return meeting(keys).stream().map(Named::slice).toList();
    }

    /**
     * Those that hold any of these keys; they are sorted and apart, as slices of one layout are.
     */
    private List<Named> meeting(KeyRange keys) {
        int low = 0;
        int high = named.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (named.get(middle).keys().to() <= keys.from()) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        int end = low;
        while (end < named.size() && named.get(end).keys().from() < keys.to()) {
            end++;
        }
        return named.subList(low, end);
    }

    private static double weight(List<Piece> pieces) {
        double sum = 0;
        for (Piece piece : pieces) {
            sum += piece.weight;
        }
        return sum;
    }

    private List<Piece> byNamed(Query query, Predicate<Part> which) {
        return whole(query, which, this::meeting);
    }

    private List<Piece> inForce(Query query, Predicate<Part> which) {
        Layout layout = inForce.get();
        return whole(query, which, layout::meeting);
    }

    private interface Groups {
        List<?> of(KeyRange keys);
    }

    /** The parts for which all slices that they belong to are in with every part of the query. */
    private static List<Piece> whole(Query query, Predicate<Part> which, Groups groups) {
        Map<Object, Boolean> in = new LinkedHashMap<>();
        Map<Part, List<?>> of = new IdentityHashMap<>();
        for (Part part : query.parts) {
            boolean counts = which.test(part);
            List<?> slices = groups.of(((Piece) part).keys);
            of.put(part, slices);
            slices.forEach(slice -> in.merge(slice, counts, Boolean::logicalAnd));
        }
        List<Piece> pieces = new ArrayList<>();
        for (Part part : query.parts) {
            if (of.get(part).stream().allMatch(in::get)) {
                pieces.add((Piece) part);
            }
        }
        return pieces;
    }
}
