package postbeam.migration;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import postbeam.slices.KeyRange;

/**
 * Compares two nodes' replicas of a slice by digests of key ranges: requests from both nodes the
 * same ranges, drops those that match, requests again where writes were under way, and splits those
 * that go on to differ. A mismatch counts only once it has shown several times with the source
 * unchanged: rows that arrive in between, or in another order, are none.
 */
final class ReplicaComparison {
    /** Ranges that a range is split into. */
    private static final int SPLIT_COUNT = 8;

    /**
     * Differing ranges after which the comparison ends: enough to see where the replicas differ.
     */
    private static final int MAX_DIFFERENCES = 16;

    /** Ranges that are compared at once. */
    private static final int MAX_OPEN_RANGES = 256;

    /** Rounds after which a range that is always being written to is split. */
    private static final int ROUNDS_BEFORE_SPLIT = 12;

    /** What is known of a range that has not matched yet. */
    private static final class UnmatchedRange {
        private RangeDigest lastSourceDigest;

        /** Mismatches in a row with the source unchanged. */
        private int mismatches;

        private int rounds;

        /** A round in which the replicas did not match. */
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

    /** Of the open request; 0 where there is none. */
    private long requestId;

    private Duration requestedAt;

    /** The answers to the open request; null where one has not come. */
    private Map<KeyRange, RangeDigest> sourceDigests;

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

    /** Requests to both nodes under this id, unless the last ones were sent a short while ago. */
    List<MigrationAction.RequestDigests> nextRequests(long nextRequestId, Duration now) {
        if (isFinished() || isRequestPending(now)) {
            return List.of();
        }
        requestId = nextRequestId;
        requestedAt = now;
        sourceDigests = null;
        targetDigests = null;
        List<KeyRange> ranges = unmatchedRanges.keySet().stream().limit(MAX_OPEN_RANGES).toList();
        // One id for both, so that an answer to an earlier request counts no more.
        return List.of(
                new MigrationAction.RequestDigests(requestId, source, slice, ranges),
                new MigrationAction.RequestDigests(requestId, target, slice, ranges));
    }

    private boolean isRequestPending(Duration now) {
        return requestedAt != null
                && now.minus(requestedAt).compareTo(limits.requestInterval()) < 0;
    }

    /**
     * Takes over a node's answer, if it is one to the open request; compares once both have come.
     */
    void onRangeDigests(long answeredRequestId, String node, List<RangeDigest> digests, Duration now) {
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
            // Where writes are always under way, smaller ranges have their quiet moments.
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

    /** Whether all ranges are compared, or enough of them differ. */
    boolean isFinished() {
        return unmatchedRanges.isEmpty() || differences.size() >= MAX_DIFFERENCES;
    }

    /** Whether all ranges are compared and match. */
    boolean isMatch() {
        return unmatchedRanges.isEmpty() && differences.isEmpty();
    }

    /** The ranges that differ, one text each; empty while none is found. */
    List<String> differences() {
        return List.copyOf(differences.values());
    }

    /** When a range last matched, differed or was split. */
    Duration lastProgressAt() {
        return lastProgressAt;
    }

    /** Over all that matched. The journal holds it: the form stays. */
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

    /** As written in digests on disk and in texts for operators. */
    private static String format(KeyRange range) {
        return range.from() + "-" + range.to();
    }
}
