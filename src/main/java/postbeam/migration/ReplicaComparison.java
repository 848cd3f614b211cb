package postbeam.migration;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import postbeam.slices.KeyRange;

/**
 * Compares two nodes' replicas of a slice by digests of key ranges: requests the same ranges from
 * both nodes, drops ranges that match, requests ranges with pending writes again, and splits ranges
 * that keep differing. A mismatch counts only after several consecutive rounds with the source
 * unchanged, because rows that arrive between two responses or in another order are not a
 * difference.
 */
final class ReplicaComparison {
    /** Number of parts that a range is split into. */
    private static final int SPLIT_COUNT = 8;

    /**
     * Number of differing ranges after which the comparison ends: enough to show where the replicas
     * differ.
     */
    private static final int MAX_DIFFERENCES = 16;

    /** Maximum number of ranges that are compared at the same time. */
    private static final int MAX_OPEN_RANGES = 256;

    /** Number of rounds without a match after which a range with constant writes is split. */
    private static final int ROUNDS_BEFORE_SPLIT = 12;

    /** State of a range that has not matched yet. */
    private static final class UnmatchedRange {
        private RangeDigest lastSourceDigest;

        /**
         * Number of consecutive rounds in which the range differed although the source had not
         * changed.
         */
        private int mismatches;

        private int rounds;

        /** Records a round in which the replicas did not match. */
        void onMismatch(RangeDigest sourceDigest, RangeDigest targetDigest) {
            rounds++;
            boolean noPendingWrites =
                    sourceDigest.pendingWrites() == 0 && targetDigest.pendingWrites() == 0;
            boolean unchanged =
                    noPendingWrites
                            && lastSourceDigest != null
                            && lastSourceDigest.hasSameContent(sourceDigest);
            mismatches = unchanged ? mismatches + 1 : 1;
            lastSourceDigest = sourceDigest;
        }
    }

    private final String source;
    private final String target;
    private final int slice;
    private final MigrationLimits limits;
    private final Map<KeyRange, UnmatchedRange> unmatchedRanges = new TreeMap<>();
    private final Map<KeyRange, RangeDigest> matchedRanges = new TreeMap<>();

    /** Descriptions of the ranges that differ. */
    private final Map<KeyRange, String> differences = new LinkedHashMap<>();

    /** Id of the open request; 0 if there is none. */
    private long requestId;

    private Duration requestedAt;

    /** The source's response to the open request by range; null until it arrives. */
    private Map<KeyRange, RangeDigest> sourceDigests;

    /** The target's response to the open request by range; null until it arrives. */
    private Map<KeyRange, RangeDigest> targetDigests;

    private Duration lastProgressAt;

    ReplicaComparison(
            String source,
            String target,
            int slice,
            KeyRange keys,
            MigrationLimits limits,
            Duration now) {
        this.source = source;
        this.target = target;
        this.slice = slice;
        this.limits = limits;
        this.lastProgressAt = now;
        addParts(keys);
    }

    private void addParts(KeyRange range) {
        long size = Math.max(1, (range.size() + SPLIT_COUNT - 1) / SPLIT_COUNT);
        for (long from = range.from(); from < range.to(); from += size) {
            KeyRange part = new KeyRange(from, Math.min(range.to(), from + size));
            unmatchedRanges.put(part, new UnmatchedRange());
        }
    }

    /**
     * Returns digest requests to both nodes under this request id; none if the comparison is
     * finished or the last requests were sent less than the request interval ago.
     */
    List<MigrationAction.RequestDigests> nextRequests(long nextRequestId, Duration now) {
        if (isFinished() || isRequestPending(now)) {
            return List.of();
        }
        requestId = nextRequestId;
        requestedAt = now;
        sourceDigests = null;
        targetDigests = null;
        List<KeyRange> ranges = unmatchedRanges.keySet().stream().limit(MAX_OPEN_RANGES).toList();
        // Both requests share one id, so that responses to earlier requests are ignored.
        return List.of(
                new MigrationAction.RequestDigests(requestId, source, slice, ranges),
                new MigrationAction.RequestDigests(requestId, target, slice, ranges));
    }

    private boolean isRequestPending(Duration now) {
        return requestedAt != null
                && now.minus(requestedAt).compareTo(limits.requestInterval()) < 0;
    }

    /**
     * Handles a node's response if it belongs to the open request, and compares the replicas once
     * both nodes have responded.
     */
    void onRangeDigests(
            long answeredRequestId, String node, List<RangeDigest> digests, Duration now) {
        if (answeredRequestId != requestId || isFinished()) {
            return;
        }
        Map<KeyRange, RangeDigest> byRange = new LinkedHashMap<>();
        digests.forEach(digest -> byRange.put(digest.range(), digest));
        if (node.equals(source)) {
            sourceDigests = byRange;
        } else if (node.equals(target)) {
            targetDigests = byRange;
        }
        if (sourceDigests != null && targetDigests != null) {
            compareAll(now);
        }
    }

    private void compareAll(Duration now) {
        requestId = 0;
        int unmatchedBefore = unmatchedRanges.size();
        for (KeyRange range : List.copyOf(unmatchedRanges.keySet())) {
            if (sourceDigests.containsKey(range) && targetDigests.containsKey(range)) {
                compare(range, sourceDigests.get(range), targetDigests.get(range));
            }
        }
        if (unmatchedRanges.size() != unmatchedBefore) {
            lastProgressAt = now;
        }
    }

    private void compare(KeyRange range, RangeDigest sourceDigest, RangeDigest targetDigest) {
        if (sourceDigest.matches(targetDigest)) {
            unmatchedRanges.remove(range);
            matchedRanges.put(range, sourceDigest);
            return;
        }
        UnmatchedRange unmatched = unmatchedRanges.get(range);
        unmatched.onMismatch(sourceDigest, targetDigest);
        if (unmatched.mismatches >= limits.mismatchesToConfirm()) {
            onConfirmedMismatch(range, sourceDigest, targetDigest);
        } else if (unmatched.rounds >= ROUNDS_BEFORE_SPLIT
                && range.size() > limits.minRangeSize()
                && canSplit()) {
            // Under constant writes, smaller ranges are more often without pending writes.
            unmatchedRanges.remove(range);
            addParts(range);
        }
    }

    private void onConfirmedMismatch(
            KeyRange range, RangeDigest sourceDigest, RangeDigest targetDigest) {
        unmatchedRanges.remove(range);
        if (range.size() > Math.max(1, limits.minRangeSize()) && canSplit()) {
            addParts(range);
        } else {
            differences.put(
                    range,
                    format(range)
                            + ": "
                            + sourceDigest.rows()
                            + " rows at "
                            + source
                            + ", "
                            + targetDigest.rows()
                            + " at "
                            + target);
        }
    }

    private boolean canSplit() {
        return unmatchedRanges.size() + SPLIT_COUNT <= MAX_OPEN_RANGES;
    }

    /** Whether all ranges are compared, or {@link #MAX_DIFFERENCES} of them differ. */
    boolean isFinished() {
        return unmatchedRanges.isEmpty() || differences.size() >= MAX_DIFFERENCES;
    }

    /** Whether all ranges are compared and match. */
    boolean isMatch() {
        return unmatchedRanges.isEmpty() && differences.isEmpty();
    }

    /** Descriptions of the ranges that differ; empty while no difference is confirmed. */
    List<String> differences() {
        return List.copyOf(differences.values());
    }

    /** When the number of unmatched ranges last changed, or the comparison started. */
    Duration lastProgressAt() {
        return lastProgressAt;
    }

    /**
     * A digest over the ranges that matched. The journal stores it, so the digested text must keep
     * its format.
     */
    String digest() {
        return Digests.sha256(
                matchedRanges.entrySet().stream()
                        .map(
                                entry ->
                                        format(entry.getKey())
                                                + " "
                                                + entry.getValue().rows()
                                                + " "
                                                + entry.getValue().digest()
                                                + "\n")
                        .collect(Collectors.joining()));
    }

    /** The text of a range in stored digests and in texts for operators. */
    private static String format(KeyRange range) {
        return range.from() + "-" + range.to();
    }
}
