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
 * Computes how complete a query's answer is, once by the slices that its client named and once by
 * the slices of the current layout. A slice counts only if all of its keys that the query requests
 * are answered. The result is the larger of the two sums; the layouts are not mixed, since a part
 * of one slice and a part of the other do not make a complete slice in either layout.
 */
public final class LayoutCompleteness implements CompletenessRule {
    /**
     * A slice as the client named it.
     *
     * @param weight its share of the answer's weight
     * @param estimatedWork the client's estimate of a node's work; null if there is none
     */
    public record RequestedSlice(int slice, KeyRange keys, double weight, Duration estimatedWork) {}

    /**
     * The shard requests whose slices are complete.
     *
     * @param version the layout version to which these slices belong
     */
    public record CompleteRequests(long version, List<KeyRangeRequest> requests) {}

    private interface SliceLookup {
        /** The slices that have any of these keys. */
        List<?> overlapping(KeyRange keys);
    }

    /** The layout version by which the client named the slices. */
    public final long requestedVersion;

    private final List<RequestedSlice> requested;
    private final double requestedWeight;
    private final Supplier<Layout> currentLayout;

    /**
     * Whether the shard requests no longer correspond one to one to the slices that the client
     * requested.
     */
    private boolean remapped;

    LayoutCompleteness(
            long requestedVersion,
            List<RequestedSlice> requested,
            Supplier<Layout> currentLayout,
            boolean remapped) {
        this.requestedVersion = requestedVersion;
        this.requested =
                requested.stream().sorted(Comparator.comparing(RequestedSlice::keys)).toList();
        this.requestedWeight = requested.stream().mapToDouble(RequestedSlice::weight).sum();
        this.currentLayout = currentLayout;
        this.remapped = remapped;
    }

    void onRemapped() {
        remapped = true;
    }

    // ---- weight and estimated work of keys

    /**
     * The weight of a key range, from the weights of the requested slices; within a slice, weight
     * is proportional to the number of keys.
     */
    double weightOf(KeyRange keys) {
        double sum = 0;
        for (RequestedSlice slice : overlapping(keys)) {
            sum += slice.weight() * slice.keys().overlapFraction(keys);
        }
        return sum;
    }

    /**
     * The estimated work of a key range, computed in the same way; null if any requested slice that
     * overlaps it has no estimate.
     */
    Duration estimatedWorkOf(KeyRange keys) {
        double nanos = 0;
        for (RequestedSlice slice : overlapping(keys)) {
            if (slice.estimatedWork() == null) {
                return null;
            }
            nanos += slice.estimatedWork().toNanos() * slice.keys().overlapFraction(keys);
        }
        return Duration.ofNanos(Math.round(nanos));
    }

    /** The numbers of the requested slices that have any of these keys. */
    public List<Integer> requestedSlicesIn(KeyRange keys) {
        return overlapping(keys).stream().map(RequestedSlice::slice).toList();
    }

    /** The requested slices that have any of these keys; they are sorted and don't overlap. */
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

    // ---- completeness

    @Override
    public double weight(Query query, Predicate<ShardRequest> condition) {
        if (!remapped) {
            double sum = 0;
            for (ShardRequest request : query.shardRequests) {
                sum += condition.test(request) ? request.weight : 0;
            }
            return sum;
        }
        return Math.max(
                totalWeight(completeByRequestedSlices(query, condition)),
                totalWeight(completeByCurrentLayout(query, condition)));
    }

    @Override
    public double totalWeight() {
        return requestedWeight;
    }

    @Override
    public int weightCount() {
        return requested.size();
    }

    /** The answered shard requests whose rows are part of the query's answer. */
    public CompleteRequests completeRequests(Query query) {
        Predicate<ShardRequest> answered = ShardRequest::isAnswered;
        if (!remapped) {
            return new CompleteRequests(
                    requestedVersion,
                    query.shardRequests.stream()
                            .filter(answered)
                            .map(KeyRangeRequest.class::cast)
                            .toList());
        }
        List<KeyRangeRequest> byRequestedSlices = completeByRequestedSlices(query, answered);
        List<KeyRangeRequest> byCurrentLayout = completeByCurrentLayout(query, answered);
        return totalWeight(byCurrentLayout) > totalWeight(byRequestedSlices)
                ? new CompleteRequests(currentLayout.get().version, byCurrentLayout)
                : new CompleteRequests(requestedVersion, byRequestedSlices);
    }

    private List<KeyRangeRequest> completeByRequestedSlices(
            Query query, Predicate<ShardRequest> condition) {
        return requestsOfCompleteSlices(query, condition, this::overlapping);
    }

    private List<KeyRangeRequest> completeByCurrentLayout(
            Query query, Predicate<ShardRequest> condition) {
        return requestsOfCompleteSlices(query, condition, currentLayout.get()::overlapping);
    }

    /**
     * The shard requests all of whose slices are complete: every request for keys of these slices
     * satisfies the condition.
     */
    private static List<KeyRangeRequest> requestsOfCompleteSlices(
            Query query, Predicate<ShardRequest> condition, SliceLookup lookup) {
        Map<Object, Boolean> completeSlices = new LinkedHashMap<>();
        IdentityHashMap<ShardRequest, List<?>> slicesOf = new IdentityHashMap<>();
        for (ShardRequest request : query.shardRequests) {
            boolean matches = condition.test(request);
            List<?> slices = lookup.overlapping(((KeyRangeRequest) request).keys);
            slicesOf.put(request, slices);
            slices.forEach(slice -> completeSlices.merge(slice, matches, Boolean::logicalAnd));
        }
        List<KeyRangeRequest> complete = new ArrayList<>();
        for (ShardRequest request : query.shardRequests) {
            if (slicesOf.get(request).stream().allMatch(completeSlices::get)) {
                complete.add((KeyRangeRequest) request);
            }
        }
        return complete;
    }

    private static double totalWeight(List<KeyRangeRequest> requests) {
        double sum = 0;
        for (KeyRangeRequest request : requests) {
            sum += request.weight;
        }
        return sum;
    }
}
