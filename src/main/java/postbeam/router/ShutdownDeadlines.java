package postbeam.router;

import java.time.Duration;
import java.util.Collection;
import java.util.Objects;

/**
 * When the phases of a graceful shutdown end, all as spans from its request. The protocol lets a
 * router live on for the longest deadline of its query classes, 3 s at most, and 0.7 s more.
 *
 * @param servingEnds until when queries are accepted
 * @param finalAnswersBy when the last query must have ended
 * @param readsDrainedBy until when what answered clients still send is read
 */
record ShutdownDeadlines(Duration servingEnds, Duration finalAnswersBy, Duration readsDrainedBy) {
    /** Clients connect for up to 0.4 s after a shutdown is requested; 0.2 s are spare. */
    static final Duration LATE_CONNECT_WINDOW = Duration.ofMillis(600);

    /** By the protocol; also where a query class states no deadline. */
    private static final Duration MAX_DEADLINE = Duration.ofSeconds(3);

    /** The last queries end so long before clients stop waiting. */
    private static final Duration FINAL_ANSWER_MARGIN = Duration.ofMillis(150);

    /** When the process is killed, counted from the longest deadline. */
    private static final Duration KILL_GRACE = Duration.ofMillis(700);

    /** Spare time before the process is killed. */
    private static final Duration KILL_MARGIN = Duration.ofMillis(100);

    /** By the deadlines of the query classes; null where one states none. */
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
