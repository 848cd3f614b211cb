package postbeam.migration;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/**
 * How soon the next copy may begin, over all migrations: each runs up a debt of moves and of bytes,
 * which time pays, and none begins while there is one. The member that has had the fewest bytes is
 * served first.
 */
final class Pace {
    private final double movesASecond;
    private final double bytesASecond;
    private final Map<String, Long> had = new TreeMap<>();
    private Duration freeAt = Duration.ZERO;

    Pace(int movesASecond, long bytesASecond) {
        this.movesASecond = movesASecond;
        this.bytesASecond = bytesASecond;
    }

    boolean free(Duration now) {
        return now.compareTo(freeAt) >= 0;
    }

    void begun(String member, long bytes, Duration now) {
        double seconds = Math.max(1 / movesASecond, bytes / bytesASecond);
        freeAt = now.plusNanos((long) (seconds * 1e9));
        had.merge(member, Math.max(1, bytes), Long::sum);
    }

    /**
     * Bytes that a member's copies have had; a new one begins level with the least of those that
     * wait.
     */
    long had(String member) {
        return had.getOrDefault(member, 0L);
    }

    void forget(java.util.Set<String> members) {
        had.keySet().retainAll(members);
    }
}
