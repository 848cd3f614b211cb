package postbeam.migration;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import postbeam.slices.Slice;

/**
 * Requests the sizes of slices, in bytes of a copy, from their holders and keeps each size until
 * the copy starts.
 */
final class SliceSizes {
    private final TransferProgress progress;
    private final MigrationLimits limits;
    private final RequestIds requestIds;
    private final Map<Integer, Long> bytesBySlice = new HashMap<>();
    private final Map<Long, Integer> sliceByRequest = new HashMap<>();
    private final Map<Integer, Duration> firstRequestedAt = new HashMap<>();
    private final Map<Integer, Duration> lastRequestedAt = new HashMap<>();

    SliceSizes(TransferProgress progress, MigrationLimits limits, RequestIds requestIds) {
        this.progress = progress;
        this.limits = limits;
        this.requestIds = requestIds;
    }

    /** Removes and returns the slice's size in bytes, if known; the next copy needs a new one. */
    Optional<Long> take(int slice) {
        Long bytes = bytesBySlice.remove(slice);
        if (bytes != null) {
            firstRequestedAt.remove(slice);
        }
        return Optional.ofNullable(bytes);
    }

    /** Requests the size from a holder, unless the request interval has not passed yet. */
    void request(ActionBatch batch, int slice, Duration now) {
        Duration last = lastRequestedAt.get(slice);
        if (last != null && now.minus(last).compareTo(limits.requestInterval()) < 0) {
            return;
        }
        lastRequestedAt.put(slice, now);
        Slice requested = progress.currentLayout().slice(slice);
        List<String> holders = requested.nodes();
        String holder =
                holders.stream().filter(progress::isReady).findFirst().orElse(holders.get(0));
        // From now on, responses to earlier requests for the slice are ignored.
        sliceByRequest.values().removeIf(other -> other == slice);
        long requestId = requestIds.next();
        sliceByRequest.put(requestId, slice);
        batch.request(
                new MigrationAction.RequestDigests(
                        requestId, holder, slice, List.of(requested.keys())));
    }

    /**
     * Whether no holder has responded within the stall timeout. The timeout starts with the first
     * call, and again with the first call after it expired.
     */
    boolean hasTimedOut(int slice, Duration now) {
        Duration first = firstRequestedAt.putIfAbsent(slice, now);
        if (first == null || now.minus(first).compareTo(limits.stallTimeout()) <= 0) {
            return false;
        }
        firstRequestedAt.remove(slice);
        return true;
    }

    /** Handles a response; returns false if it does not belong to an open size request. */
    boolean onRangeDigests(long requestId, List<RangeDigest> digests) {
        Integer slice = sliceByRequest.remove(requestId);
        if (slice == null) {
            return false;
        }
        bytesBySlice.put(slice, digests.stream().mapToLong(RangeDigest::bytes).sum());
        return true;
    }
}
