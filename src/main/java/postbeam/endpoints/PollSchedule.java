package postbeam.endpoints;

import java.time.Duration;
import java.util.Random;

/**
 * When discovery is polled for a watch where it sends nothing by itself: at once, and again after a
 * failure or a poll without a response. Pauses are jittered, so that routers that failed together
 * don't poll together after an outage. No I/O, clock or thread: times are passed in, since the
 * router's start.
 */
public final class PollSchedule {
    private final boolean pollRequired;

    /** Null where the settings state none. */
    private final Duration pollInterval;

    private final Random random;
    private int consecutiveFailures;

    /** Null while the watch holds. */
    private Duration nextPollAt;

    /**
     * A schedule whose first poll is due at once.
     *
     * @param pollRequired false where discovery sends its updates by itself: no poll is ever due
     * @param pollInterval at most between polls, or null where that is not stated
     */
    public PollSchedule(boolean pollRequired, Duration pollInterval, Random random) {
        this.pollRequired = pollRequired;
        this.pollInterval = pollInterval;
        this.random = random;
        this.nextPollAt = pollRequired ? Duration.ZERO : null;
    }

    /** True if a poll is due now, which is then taken as sent. */
    public boolean startPollIfDue(Duration now) {
        if (nextPollAt == null || now.compareTo(nextPollAt) < 0) {
            return false;
        }
        nextPollAt = now.plus(PollTimings.MAX_SILENCE);
        return true;
    }

    /** When the next poll is due, as far as is known; null while the watch holds. */
    public Duration nextPollAt() {
        return nextPollAt;
    }

    /** A poll was answered or an update came; or else the poll failed, or the watch broke. */
    public void onPollResult(Duration now, boolean failed) {
        consecutiveFailures = failed ? consecutiveFailures + 1 : 0;
        nextPollAt =
                failed && pollRequired
                        ? now.plus(
                                PollTimings.jitteredBackoff(
                                        consecutiveFailures, pollInterval, random))
                        : null;
    }
}
