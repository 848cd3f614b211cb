package postbeam.router;

import java.time.Duration;

/**
 * Whether the endpoint list is recent enough to decide by. It is not after the whole process stood
 * still (stopped, or its machine paused): changes that it missed count as known to it for long.
 * Queries then wait until discovery is polled again, {@link #MAX_WAIT} at most.
 */
final class DiscoveryFreshness {
    /** Longer than a poll and the pause after it can take while the process runs. */
    private static final Duration STALE_AFTER = Duration.ofSeconds(5);

    /** Long enough for a poll that is answered and the pause before it. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(1);

    /** The last poll's end by {@link System#nanoTime}; null where discovery is not polled. */
    private volatile Long lastPollNanos;

    /** Since when queries wait; null while they don't. Guarded by the executor's lock. */
    private Duration waitingSince;

    /** Discovery was polled, with or without an answer. May be called on any thread. */
    void onPollEnd() {
        lastPollNanos = System.nanoTime();
    }

    /** Whether decisions wait for discovery; only under the lock of {@link PolicyExecutor}. */
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
