package postbeam.migration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import postbeam.slices.KeyRange;

/**
 * Compares what two nodes have of a slice: asks both for ranges, takes what agrees, asks again
 * where writes were under way, cuts what goes on to differ. A difference counts once it has shown
 * so many times with the source unchanged: rows that came in between, or in another order, are
 * none.
 */
final class ReplicaComparison {
    /** Pieces that a range is cut into. */
    private static final int SPLIT_COUNT = 8;

    /** Ranges that are found to differ, or are looked at at once; enough to see where it is. */
    private static final int MAX_DIFFERENCES = 16;

    private static final int MAX_OPEN_RANGES = 256;

    /** Rounds after which a range that comes to no rest is cut. */
    private static final int ROUNDS_BEFORE_SPLIT = 12;

    private static final class UnmatchedRange {
        RangeDigest lastSourceDigest;
        int mismatches;
        int rounds;
    }

    private final String source;
    private final String target;
    private final int slice;
    private final MigrationLimits limits;

    /** Ranges that have not agreed yet. */
    private final Map<KeyRange, UnmatchedRange> unmatchedRanges = new TreeMap<>();

    private final Map<KeyRange, RangeDigest> matchedRanges = new TreeMap<>();
    private final Map<KeyRange, String> differences = new LinkedHashMap<>();
    private long requestId;
    private Map<KeyRange, RangeDigest> sourceDigests;
    private Map<KeyRange, RangeDigest> targetDigests;
    private Duration requestedAt;

    /** When a range last agreed, differed or was cut. */
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
        split(keys).forEach(piece -> unmatchedRanges.put(piece, new UnmatchedRange()));
    }

    private static List<KeyRange> split(KeyRange keys) {
        List<KeyRange> pieces = new ArrayList<>();
        long step = Math.max(1, (keys.size() + SPLIT_COUNT - 1) / SPLIT_COUNT);
        for (long from = keys.from(); from < keys.to(); from += step) {
            pieces.add(new KeyRange(from, Math.min(keys.to(), from + step)));
        }
        return pieces;
    }

    /**
     * Asks where nothing is asked, or the last question was lost; the number is for a new question.
     */
    List<MigrationAction> nextRequests(long number, Duration now) {
        if (isFinished()
                || requestedAt != null
                        && now.minus(requestedAt).compareTo(limits.requestInterval()) < 0) {
            return List.of();
        }
        requestId = number;
        requestedAt = now;
        sourceDigests = null;
        targetDigests = null;
        List<KeyRange> ranges = unmatchedRanges.keySet().stream().limit(MAX_OPEN_RANGES).toList();
        // Both by one number: an answer to an earlier question is of no use any more.
        return List.of(
                new MigrationAction.RequestDigests(number, source, slice, ranges),
                new MigrationAction.RequestDigests(number, target, slice, ranges));
    }

    void onDigests(long number, String node, List<RangeDigest> said, Duration now) {
        if (number != requestId || isFinished()) {
            return;
        }
        Map<KeyRange, RangeDigest> by = new LinkedHashMap<>();
        said.forEach(one -> by.put(one.range(), one));
        if (node.equals(source)) {
            sourceDigests = by;
        } else if (node.equals(target)) {
            targetDigests = by;
        }
        if (sourceDigests != null && targetDigests != null) {
            requestId = 0;
            int before = unmatchedRanges.size();
            for (KeyRange range : List.copyOf(unmatchedRanges.keySet())) {
                if (sourceDigests.containsKey(range) && targetDigests.containsKey(range)) {
                    compare(range, sourceDigests.get(range), targetDigests.get(range));
                }
            }
            lastProgressAt = unmatchedRanges.size() == before ? lastProgressAt : now;
        }
    }

    private void compare(KeyRange range, RangeDigest here, RangeDigest there) {
        UnmatchedRange doubt = unmatchedRanges.get(range);
        if (here.matches(there)) {
            unmatchedRanges.remove(range);
            matchedRanges.put(range, here);
            return;
        }
        doubt.rounds++;
        boolean still =
                here.pendingWrites() == 0
                        && there.pendingWrites() == 0
                        && doubt.lastSourceDigest != null
                        && doubt.lastSourceDigest.hasSameContent(here);
        doubt.mismatches = still ? doubt.mismatches + 1 : 1;
        doubt.lastSourceDigest = here;
        if (doubt.mismatches < limits.mismatchesToConfirm()) {
            // Where something is always under way, finer pieces have their quiet moments.
            if (doubt.rounds >= ROUNDS_BEFORE_SPLIT
                    && range.size() > limits.minRangeSize()
                    && unmatchedRanges.size() + SPLIT_COUNT <= MAX_OPEN_RANGES) {
                unmatchedRanges.remove(range);
                split(range).forEach(piece -> unmatchedRanges.put(piece, new UnmatchedRange()));
            }
            return;
        }
        unmatchedRanges.remove(range);
        if (range.size() <= Math.max(1, limits.minRangeSize())
                || unmatchedRanges.size() + SPLIT_COUNT > MAX_OPEN_RANGES) {
            differences.put(
                    range,
                    text(range)
                            + ": "
                            + here.rows()
                            + " rows at "
                            + source
                            + ", "
                            + there.rows()
                            + " at "
                            + target);
        } else {
            split(range).forEach(piece -> unmatchedRanges.put(piece, new UnmatchedRange()));
        }
    }

    boolean isFinished() {
        return unmatchedRanges.isEmpty() || differences.size() >= MAX_DIFFERENCES;
    }

    /** The ranges that differ, in words; empty while none is found. */
    List<String> differences() {
        return List.copyOf(differences.values());
    }

    boolean isMatch() {
        return unmatchedRanges.isEmpty() && differences.isEmpty();
    }

    Duration lastProgressAt() {
        return lastProgressAt;
    }

    /** Over all that agreed. */
    String digest() {
        MessageDigest sum = sha256();
        matchedRanges.forEach(
                (range, said) ->
                        sum.update(
                                (text(range) + " " + said.rows() + " " + said.digest() + "\n")
                                        .getBytes(StandardCharsets.UTF_8)));
        return HexFormat.of().formatHex(sum.digest());
    }

    /** As it stands in digests on disk and in texts for operators. */
    private static String text(KeyRange range) {
        return range.from() + "-" + range.to();
    }

    static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError("each Java platform has SHA-256", e);
        }
    }
}
