package postbeam.router;

import java.time.Duration;
import java.util.Collection;
import java.util.Objects;

/**
 * How long a router that was told to end serves on, when its last query is to be over, and until
 * when it reads off what clients that were answered still send, all counted from then. The
 * protocol's page lets it live for the longest deadline, but for 3 s where that is longer, and 0.7
 * s more.
 */
record ShutdownDeadlines(Duration servingEnds, Duration finalAnswersBy, Duration readsDrainedBy) {
    /**
     * How long clients go on connecting after a stop was asked, at most 0.4 s as their page has it.
     */
    static final Duration LATE_CONNECT_WINDOW = Duration.ofMillis(600);

    /**
     * The most of a deadline that is waited for, as the page has it; taken too where no deadline is
     * stated.
     */
    private static final Duration MAX_DEADLINE = Duration.ofSeconds(3);

    /** Before its end the last queries are answered or given up. */
    private static final Duration FINAL_ANSWER_MARGIN = Duration.ofMillis(150);

    /**
     * Of the 0.7 s that the page gives beyond the longest deadline: kept for a router that is late
     * at its end.
     */
    private static final Duration END_MARGIN = Duration.ofMillis(100);

    private static final Duration KILL_GRACE = Duration.ofMillis(700);

    /** By the deadlines in the settings, null where a vertical states none. */
    static ShutdownDeadlines of(Collection<Duration> deadlines) {
        Duration longest =
                deadlines.stream()
                        .filter(Objects::nonNull)
                        .max(Duration::compareTo)
                        .orElse(MAX_DEADLINE);
        Duration servesOn = longest.compareTo(MAX_DEADLINE) < 0 ? longest : MAX_DEADLINE;
        return new ShutdownDeadlines(
                servesOn,
                servesOn.plus(LATE_CONNECT_WINDOW).minus(FINAL_ANSWER_MARGIN),
                servesOn.plus(KILL_GRACE).minus(END_MARGIN));
    }
}
