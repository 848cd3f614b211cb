package postbeam.migration;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Limits how soon the next copy may start, over all migrations: each copy takes the time that its
 * move and its bytes cost at the configured rates, and none starts before that is over. Counts the
 * bytes by member, for a fair order.
 */
final class MigrationThrottle {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double movesPerSecond;
    private final double bytesPerSecond;
    private final Map<String, Long> copiedBytes = new TreeMap<>();
    private Duration nextStartAt = Duration.ZERO;

    MigrationThrottle(int movesPerSecond, long bytesPerSecond) {
        this.movesPerSecond = movesPerSecond;
        this.bytesPerSecond = bytesPerSecond;
    }

    boolean canStart(Duration now) {
        return now.compareTo(nextStartAt) >= 0;
    }

    /** A copy of so many bytes starts for this member. */
    void onCopyStarted(String member, long bytes, Duration now) {
        double seconds = Math.max(1 / movesPerSecond, bytes / bytesPerSecond);
        nextStartAt = now.plusNanos((long) (seconds * NANOS_PER_SECOND));
        copiedBytes.merge(member, Math.max(1, bytes), Long::sum);
    }

    /** Bytes that the member's copies have taken; 0 for one that has not copied yet. */
    long copiedBytes(String member) {
        return copiedBytes.getOrDefault(member, 0L);
    }

    /** Forgets all other members. */
    void retainMembers(Set<String> members) {
        copiedBytes.keySet().retainAll(members);
    }
}
