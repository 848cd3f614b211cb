package postbeam.discovery;

import java.time.Duration;

/**
 * Logs when a watched document's server becomes slow, silent or unusable, and when it recovers.
 * Each state is logged once, however many polls meet it. Used by one thread.
 */
final class PollLog {
    /** A server that answered late is slow until none of its responses was late for so long. */
    private static final Duration SLOW_PERIOD = Duration.ofMinutes(1);

    private final System.Logger logger;
    private final String name;
    private final String address;
    private boolean failing;
    private boolean rejecting;

    /** When the last late response arrived; null if the server is not slow. */
    private Duration lastLateAt;

    PollLog(System.Logger logger, String name, String address) {
        this.logger = logger;
        this.name = name;
        this.address = address;
    }

    /**
     * Records a usable response.
     *
     * @param lateness time between when it was overdue and when it arrived; zero if it was in time
     * @param now time since any fixed start
     */
    void onResponse(long version, Duration lateness, Duration now) {
        if (failing) {
            logger.log(System.Logger.Level.INFO, "{0} answers again, version {1}", name, version);
        }
        failing = false;
        rejecting = false;
        if (!lateness.isZero()) {
            onLateResponse(lateness, now);
        } else if (lastLateAt != null && now.minus(lastLateAt).compareTo(SLOW_PERIOD) >= 0) {
            lastLateAt = null;
            logger.log(System.Logger.Level.INFO, "{0} answers in time again", name);
        }
    }

    private void onLateResponse(Duration lateness, Duration now) {
        if (lastLateAt == null) {
            logger.log(
                    System.Logger.Level.WARNING,
                    "{0} at {1} is slow: a response was {2} ms overdue; changes arrive late",
                    name,
                    address,
                    Long.toString(lateness.toMillis()));
        }
        lastLateAt = now;
    }

    /** Records that no response to any poll has arrived for this time although one was due. */
    void onSilence(Duration silence) {
        if (!failing) {
            warn("no response, overdue for " + silence.toMillis() + " ms");
        }
        failing = true;
    }

    /**
     * Records a failed poll.
     *
     * @param rejected whether a response arrived that can't be used
     */
    void onFailure(Throwable failure, boolean rejected) {
        if (!failing || (rejected && !rejecting)) {
            warn(failure.toString());
        }
        failing = true;
        rejecting |= rejected;
    }

    private void warn(String reason) {
        logger.log(
                System.Logger.Level.WARNING,
                "{0} at {1}: {2}; what is held stays",
                name,
                address,
                reason);
    }
}
