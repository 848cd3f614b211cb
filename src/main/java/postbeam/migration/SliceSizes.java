package postbeam.migration;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import postbeam.slices.Slice;

/**
 * Requests from holders how many bytes a copy of a slice takes, and keeps each answer until the
 * copy starts.
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

    /** Takes the slice's size in bytes, if it is known; the next copy requests it anew. */
    Optional<Long> take(int slice) {
        Long bytes = bytesBySlice.remove(slice);
        if (bytes != null) {
            firstRequestedAt.remove(slice);
        }
        return Optional.ofNullable(bytes);
    }

    /** Requests the size from a holder, unless a request was sent a short while ago. */
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
        // Answers to earlier requests for the slice no longer count.
        sliceByRequest.values().removeIf(other -> other == slice);
        long requestId = requestIds.next();
        sliceByRequest.put(requestId, slice);
        batch.request(
                new MigrationAction.RequestDigests(
                        requestId, holder, slice, List.of(requested.keys())));
    }

    /** Whether no holder has answered for the stall timeout, which starts again then. */
    boolean hasTimedOut(int slice, Duration now) {
        Duration first = firstRequestedAt.putIfAbsent(slice, now);
        if (first == null || now.minus(first).compareTo(limits.stallTimeout()) <= 0) {
            return false;
        }
        firstRequestedAt.remove(slice);
        return true;
    }

    /** Takes over an answer; false where the request was not one for a size. */
    boolean onRangeDigests(long requestId, List<RangeDigest> digests) {
        Integer slice = sliceByRequest.remove(requestId);
        if (slice == null) {
            return false;
        }
        bytesBySlice.put(slice, digests.stream().mapToLong(RangeDigest::bytes).sum());
        return true;
    }
}
