package postbeam.router;

import java.time.Duration;
import java.util.Collection;
import java.util.Objects;

/**
 * When the phases of a graceful shutdown end, each as the time since the shutdown was requested. By
 * the protocol, a router may run on for the longest deadline of its query classes, 3 s at most,
 * plus 0.7 s.
 *
 * @param servingEnds until when queries are accepted
 * @param finalAnswersBy when the last query must have ended
 * @param readsDrainedBy until when bytes that clients still send after their answer are read
 */
record ShutdownDeadlines(Duration servingEnds, Duration finalAnswersBy, Duration readsDrainedBy) {
    /**
     * Time for which a router goes on accepting queries after a shutdown is requested: clients may
     * connect for up to 0.4 s, and 0.2 s are a safety margin.
     */
    static final Duration LATE_CONNECT_WINDOW = Duration.ofMillis(600);

    /**
     * The longest deadline that counts, by the protocol; also used if no query class states a
     * deadline.
     */
    private static final Duration MAX_DEADLINE = Duration.ofSeconds(3);

    /** Margin between the end of the last query and the time at which clients stop waiting. */
    private static final Duration FINAL_ANSWER_MARGIN = Duration.ofMillis(150);

    /** Time from the longest deadline until the process is killed. */
    private static final Duration KILL_GRACE = Duration.ofMillis(700);

    /** Margin between the end of the shutdown and the time at which the process is killed. */
    private static final Duration KILL_MARGIN = Duration.ofMillis(100);

    /**
     * Derives the shutdown deadlines.
     *
     * @param deadlines those of the query classes; null for a class without one
     */
    static ShutdownDeadlines of(Collection<Duration> deadlines) {
        Duration longest =
                deadlines.stream()
                        .filter(Objects::nonNull)
                        .max(Duration::compareTo)
                        .orElse(MAX_DEADLINE);
        Duration servingEnds = longest.compareTo(MAX_DEADLINE) < 0 ? longest : MAX_DEADLINE;
        return new ShutdownDeadlines(
                servingEnds,
                servingEnds.plus(LATE_CONNECT_WINDOW).minus(FINAL_ANSWER_MARGIN),
                servingEnds.plus(KILL_GRACE).minus(KILL_MARGIN));
    }
}
