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
final class Comparison {
    /** Pieces that a range is cut into. */
    private static final int PIECES = 8;

    /** Ranges that are found to differ, or are looked at at once; enough to see where it is. */
    private static final int FOUND_MOST = 16;

    private static final int ASKED_MOST = 256;

    /** Rounds after which a range that comes to no rest is cut. */
    private static final int BUSY_ROUNDS = 12;

    private static final class Doubt {
        Said source;
        int times;
        int rounds;
    }

    private final String source;
    private final String target;
    private final int slice;
    private final MigrationLimits limits;

    /** Ranges that have not agreed yet. */
    private final Map<KeyRange, Doubt> open = new TreeMap<>();

    private final Map<KeyRange, Said> agreed = new TreeMap<>();
    private final Map<KeyRange, String> differ = new LinkedHashMap<>();
    private long asked;
    private Map<KeyRange, Said> bySource;
    private Map<KeyRange, Said> byTarget;
    private Duration askedAt;

    /** When a range last agreed, differed or was cut. */
    private Duration progressAt;

    Comparison(
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
        this.progressAt = now;
        cut(keys).forEach(piece -> open.put(piece, new Doubt()));
    }

    private static List<KeyRange> cut(KeyRange keys) {
        List<KeyRange> pieces = new ArrayList<>();
        long step = Math.max(1, (keys.size() + PIECES - 1) / PIECES);
        for (long from = keys.from(); from < keys.to(); from += step) {
            pieces.add(new KeyRange(from, Math.min(keys.to(), from + step)));
        }
        return pieces;
    }

    /**
     * Asks where nothing is asked, or the last question was lost; the number is for a new question.
     */
    List<Doing> step(long number, Duration now) {
        if (over() || askedAt != null && now.minus(askedAt).compareTo(limits.again()) < 0) {
            return List.of();
        }
        asked = number;
        askedAt = now;
        bySource = null;
        byTarget = null;
        List<KeyRange> ranges = open.keySet().stream().limit(ASKED_MOST).toList();
        // Both by one number: an answer to an earlier question is of no use any more.
        return List.of(
                new Doing.Ask(number, source, slice, ranges),
                new Doing.Ask(number, target, slice, ranges));
    }

    void answered(long number, String node, List<Said> said, Duration now) {
        if (number != asked || over()) {
            return;
        }
        Map<KeyRange, Said> by = new LinkedHashMap<>();
        said.forEach(one -> by.put(one.keys(), one));
        if (node.equals(source)) {
            bySource = by;
        } else if (node.equals(target)) {
            byTarget = by;
        }
        if (bySource != null && byTarget != null) {
            asked = 0;
            int before = open.size();
            for (KeyRange range : List.copyOf(open.keySet())) {
                if (bySource.containsKey(range) && byTarget.containsKey(range)) {
                    compare(range, bySource.get(range), byTarget.get(range));
                }
            }
            progressAt = open.size() == before ? progressAt : now;
        }
    }

    private void compare(KeyRange range, Said here, Said there) {
        Doubt doubt = open.get(range);
        if (here.agrees(there)) {
            open.remove(range);
            agreed.put(range, here);
            return;
        }
        doubt.rounds++;
        boolean still =
                here.open() == 0
                        && there.open() == 0
                        && doubt.source != null
                        && doubt.source.same(here);
        doubt.times = still ? doubt.times + 1 : 1;
        doubt.source = here;
        if (doubt.times < limits.patience()) {
            // Where something is always under way, finer pieces have their quiet moments.
            if (doubt.rounds >= BUSY_ROUNDS
                    && range.size() > limits.finest()
                    && open.size() + PIECES <= ASKED_MOST) {
                open.remove(range);
                cut(range).forEach(piece -> open.put(piece, new Doubt()));
            }
            return;
        }
        open.remove(range);
        if (range.size() <= Math.max(1, limits.finest()) || open.size() + PIECES > ASKED_MOST) {
            differ.put(
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
            cut(range).forEach(piece -> open.put(piece, new Doubt()));
        }
    }

    boolean over() {
        return open.isEmpty() || differ.size() >= FOUND_MOST;
    }

    /** The ranges that differ, in words; empty while none is found. */
    List<String> differ() {
        return List.copyOf(differ.values());
    }

    boolean sound() {
        return open.isEmpty() && differ.isEmpty();
    }

    Duration progressAt() {
        return progressAt;
    }

    /** Over all that agreed. */
    String digest() {
        MessageDigest sum = sha256();
        agreed.forEach(
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
