package postbeam.endpoints;

import java.time.Duration;
import java.util.Random;

/**
 * Decides when discovery is polled: at once, and again after a failure or a poll without a
 * response. While updates arrive by themselves, no poll is scheduled. Pauses are jittered, so that
 * routers that failed together don't poll together after an outage. Uses no I/O, clock or thread:
 * times are passed in as durations since the router's start.
 */
public final class PollSchedule {
    private final boolean pollRequired;

    /** Longest mean pause between polls; null if the settings define none. */
    private final Duration pollInterval;

    private final Random random;
    private int consecutiveFailures;

    /** Time at which the next poll is due; null while no poll is scheduled. */
    private Duration nextPollAt;

    /**
     * Creates a schedule whose first poll is due at once.
     *
     * @param pollRequired false if discovery sends updates without being polled: no poll is ever
     *     due then
     * @param pollInterval longest mean pause between polls, or null if the settings define none
     */
    public PollSchedule(boolean pollRequired, Duration pollInterval, Random random) {
        this.pollRequired = pollRequired;
        this.pollInterval = pollInterval;
        this.random = random;
        this.nextPollAt = pollRequired ? Duration.ZERO : null;
    }

    /**
     * Returns whether a poll is due. If so, it counts as sent, and the next one is due if no result
     * is reported within {@link PollTimings#MAX_SILENCE}.
     */
    public boolean startPollIfDue(Duration now) {
        if (nextPollAt == null || now.compareTo(nextPollAt) < 0) {
            return false;
        }
        nextPollAt = now.plus(PollTimings.MAX_SILENCE);
        return true;
    }

    /**
     * When the next poll is due, unless a result is reported earlier; null while none is scheduled.
     */
    public Duration nextPollAt() {
        return nextPollAt;
    }

    /**
     * Records the result of a poll.
     *
     * @param failed true if the poll failed or discovery stopped sending updates; false if the poll
     *     was answered or an update arrived
     */
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
