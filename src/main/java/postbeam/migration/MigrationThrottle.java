package postbeam.migration;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Limits the rate at which copies start, over all migrations. After the start of a copy, the next
 * one may start once the time has passed that one move or the copy's bytes take at the configured
 * rates, whichever is longer. Also counts the bytes of the copies that each member has started, so
 * that members with fewer bytes can come first.
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

    /** Records the start of a copy of this size for the member. */
    void onCopyStarted(String member, long bytes, Duration now) {
        double seconds = Math.max(1 / movesPerSecond, bytes / bytesPerSecond);
        nextStartAt = now.plusNanos((long) (seconds * NANOS_PER_SECOND));
        copiedBytes.merge(member, Math.max(1, bytes), Long::sum);
    }

    /** Bytes of the member's copies; 0 if none has started. An empty copy counts as one byte. */
    long copiedBytes(String member) {
        return copiedBytes.getOrDefault(member, 0L);
    }

    /** Removes the counts of all other members. */
    void retainMembers(Set<String> members) {
        copiedBytes.keySet().retainAll(members);
    }
}
