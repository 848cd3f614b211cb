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
import postbeam.model.CompletenessRule;
import postbeam.model.Query;
import postbeam.model.ShardRequest;

/**
 * What a query is held against: the slices that its client named, and those in force now. A slice
 * counts where all keys that the query wants of it are in; what counts is the larger sum of the
 * two. Guards the floor and the whole mark against a mix of both, where half a slice of each would
 * pass for one.
 */
public final class LayoutCompleteness implements CompletenessRule {
    /**
     * A slice as the client named it, with its share of the answer and, where a guess came, its
     * work.
     */
    public record RequestedSlice(int slice, KeyRange keys, double weight, Duration work) {}

    /** Which parts count, and the version whose slices they make whole. */
    public record CompleteParts(long version, List<KeyRangeRequest> requests) {}

    public final long requestedVersion;
    private final List<RequestedSlice> requested;
    private final Supplier<Layout> inForce;

    /** Parts and slices are no longer one and the same. */
    private boolean recut;

    LayoutCompleteness(
            long version, List<RequestedSlice> named, Supplier<Layout> inForce, boolean recut) {
        this.requestedVersion = version;
        this.requested = named.stream().sorted(Comparator.comparing(RequestedSlice::keys)).toList();
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
        for (RequestedSlice one : overlapping(keys)) {
            sum += one.weight() * one.keys().overlapFraction(keys);
        }
        return sum;
    }

    /** The work of keys, in the same way; null where any of it was not guessed. */
    Duration workOf(KeyRange keys) {
        double nanos = 0;
        for (RequestedSlice one : overlapping(keys)) {
            if (one.work() == null) {
                return null;
            }
            nanos += one.work().toNanos() * one.keys().overlapFraction(keys);
        }
        return Duration.ofNanos(Math.round(nanos));
    }

    @Override
    public double weight(Query query, Predicate<ShardRequest> which) {
        if (!recut) {
            double sum = 0;
            for (ShardRequest request : query.shardRequests) {
                sum += which.test(request) ? request.weight : 0;
            }
            return sum;
        }
        return Math.max(weight(byNamed(query, which)), weight(inForce(query, which)));
    }

    /** What of the merged parts goes into an answer. */
    public CompleteParts completeParts(Query query) {
        Predicate<ShardRequest> merged = ShardRequest::isAnswered;
        if (!recut) {
            return new CompleteParts(
                    requestedVersion,
                    query.shardRequests.stream()
                            .filter(merged)
                            .map(KeyRangeRequest.class::cast)
                            .toList());
        }
        List<KeyRangeRequest> asNamed = byNamed(query, merged);
        List<KeyRangeRequest> now = inForce(query, merged);
        return weight(now) > weight(asNamed)
                ? new CompleteParts(inForce.get().version, now)
                : new CompleteParts(requestedVersion, asNamed);
    }

    /** The slices, as its client named them, that hold any of these keys. */
    public List<Integer> requestedSlicesIn(KeyRange keys) {
        return overlapping(keys).stream().map(RequestedSlice::slice).toList();
    }

    /**
     * Those that hold any of these keys; they are sorted and apart, as slices of one layout are.
     */
    private List<RequestedSlice> overlapping(KeyRange keys) {
        int low = 0;
        int high = requested.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (requested.get(middle).keys().to() <= keys.from()) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        int end = low;
        while (end < requested.size() && requested.get(end).keys().from() < keys.to()) {
            end++;
        }
        return requested.subList(low, end);
    }

    private static double weight(List<KeyRangeRequest> pieces) {
        double sum = 0;
        for (KeyRangeRequest piece : pieces) {
            sum += piece.weight;
        }
        return sum;
    }

    private List<KeyRangeRequest> byNamed(Query query, Predicate<ShardRequest> which) {
        return whole(query, which, this::overlapping);
    }

    private List<KeyRangeRequest> inForce(Query query, Predicate<ShardRequest> which) {
        Layout layout = inForce.get();
        return whole(query, which, layout::overlapping);
    }

    private interface SliceLookup {
        List<?> of(KeyRange keys);
    }

    /** The parts for which all slices that they belong to are in with every part of the query. */
    private static List<KeyRangeRequest> whole(
            Query query, Predicate<ShardRequest> which, SliceLookup groups) {
        Map<Object, Boolean> in = new LinkedHashMap<>();
        Map<ShardRequest, List<?>> of = new IdentityHashMap<>();
        for (ShardRequest request : query.shardRequests) {
            boolean counts = which.test(request);
            List<?> slices = groups.of(((KeyRangeRequest) request).keys);
            of.put(request, slices);
            slices.forEach(slice -> in.merge(slice, counts, Boolean::logicalAnd));
        }
        List<KeyRangeRequest> pieces = new ArrayList<>();
        for (ShardRequest request : query.shardRequests) {
            if (of.get(request).stream().allMatch(in::get)) {
                pieces.add((KeyRangeRequest) request);
            }
        }
        return pieces;
    }
}
