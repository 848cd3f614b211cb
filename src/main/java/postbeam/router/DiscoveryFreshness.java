package postbeam.router;

import java.time.Duration;

/**
 * Tracks whether the endpoint list is recent enough to decide by. It is not after the whole process
 * was suspended (stopped, or its machine paused): by the protocol, changes that the router missed
 * meanwhile count as known to it. Queries then wait for the next poll of discovery, but no longer
 * than {@link #MAX_WAIT}.
 */
final class DiscoveryFreshness {
    /**
     * Time since the last poll after which the endpoint list counts as out of date; longer than a
     * poll and the pause after it can take while the process is running.
     */
    static final Duration STALE_AFTER = Duration.ofSeconds(5);

    /**
     * Maximum time for which queries wait for a poll; long enough for the pause before a poll and
     * the poll itself.
     */
    private static final Duration MAX_WAIT = Duration.ofSeconds(1);

    /** When the last poll ended, by {@link System#nanoTime}; null if discovery is not polled. */
    private volatile Long lastPollNanos;

    /**
     * Since when queries have been waiting; null if they are not. Guarded by the lock of {@link
     * PolicyExecutor}.
     */
    private Duration waitingSince;

    /**
     * Records that a poll of discovery ended, with or without a response. A poll that was sent
     * before a suspension must not be recorded. Safe to call on any thread.
     */
    void onPollEnd() {
        lastPollNanos = System.nanoTime();
    }

    /**
     * Returns whether decisions must wait for a poll. The caller holds the lock of {@link
     * PolicyExecutor}.
     */
    boolean mustWait(Duration now) {
        Long pollNanos = lastPollNanos;
        if (pollNanos == null || System.nanoTime() - pollNanos < STALE_AFTER.toNanos()) {
            waitingSince = null;
            return false;
        }
        if (waitingSince == null) {
            waitingSince = now;
        }
        return now.minus(waitingSince).compareTo(MAX_WAIT) < 0;
    }
}
