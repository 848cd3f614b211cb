package postbeam.migration;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/**
 * How soon the next copy may begin, over all migrations: each runs up a debt of moves and of bytes,
 * which time pays, and none begins while there is one. The member that has had the fewest bytes is
 * served first.
 */
final class MigrationThrottle {
    private final double movesPerSecond;
    private final double bytesPerSecond;
    private final Map<String, Long> copiedBytes = new TreeMap<>();
    private Duration nextStartAt = Duration.ZERO;

    MigrationThrottle(int movesASecond, long bytesASecond) {
        this.movesPerSecond = movesASecond;
        this.bytesPerSecond = bytesASecond;
    }

    boolean canStart(Duration now) {
        return now.compareTo(nextStartAt) >= 0;
    }

    void onCopyStarted(String member, long bytes, Duration now) {
        double seconds = Math.max(1 / movesPerSecond, bytes / bytesPerSecond);
        nextStartAt = now.plusNanos((long) (seconds * 1e9));
        copiedBytes.merge(member, Math.max(1, bytes), Long::sum);
    }

    /**
     * Bytes that a member's copies have had; a new one begins level with the least of those that
     * wait.
     */
    long copiedBytes(String member) {
        return copiedBytes.getOrDefault(member, 0L);
    }

    void retainMembers(java.util.Set<String> members) {
        copiedBytes.keySet().retainAll(members);
    }
}
