package postbeam.endpoints;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.function.IntFunction;

/**
 * Timeouts of the polls of one watched document and the pauses between them.
 *
 * <p>Discovery limits them: changes that it had, while it could be reached, count as known to the
 * router after {@link #MAX_PROPAGATION_DELAY}, even if polls were pending, failed or were rejected.
 * Polls that begin once discovery is back are answered, though maybe only {@link
 * #MAX_SERVER_LATENESS} later. The longest cycle therefore starts with a poll that began just
 * before that and gets no response. Once it no longer occupies the first stage of overdue polls
 * ({@link PendingPolls}), or is abandoned where there are no such stages, the longest pause and
 * another poll follow. For any number of earlier failures:
 *
 * <pre>max(longPollWait + patience, responseTimeout) + maxBackoff + MAX_SERVER_LATENESS
 *     &lt;= MAX_POLL_CYCLE</pre>
 *
 * <p>where the patience is the first of the lateness limits, or the grace where polls that are
 * answered this late are not overdue yet. For a local agent that responds at once, a pause and a
 * poll fit in several times.
 *
 * @param longPollWait how long the server is asked to wait for a change
 * @param longPollGrace how much later the response to a long poll is overdue
 * @param responseTimeout after which any other response is overdue, from connecting to its last
 *     byte, and the remainder of a long poll's response once it has begun
 * @param firstByteTimeout after which a poll is overdue that is not connected, or a fetch whose
 *     response has not begun since it was sent
 * @param latenessLimits how long overdue polls stay pending after their response was due, a limit
 *     for each stage in increasing order; empty if they are abandoned at once
 * @param backoff pause before the next poll, by the number of consecutive failures
 * @param maxBackoff the longest of these pauses
 */
public record PollTimings(
        Duration longPollWait,
        Duration longPollGrace,
        Duration responseTimeout,
        Duration firstByteTimeout,
        List<Duration> latenessLimits,
        IntFunction<Duration> backoff,
        Duration maxBackoff) {

    /**
     * Time after which changes that discovery had count as known to the router; defined by the
     * protocol.
     */
    private static final Duration MAX_PROPAGATION_DELAY = Duration.ofSeconds(6);

    /**
     * Part of {@link #MAX_PROPAGATION_DELAY} that is reserved for a router that is scheduled late
     * and for decoding the list.
     */
    private static final Duration SCHEDULING_MARGIN = Duration.ofMillis(500);

    /**
     * How late a response may be: a change counts as known only this long after the end of a long
     * poll's wait; defined by the protocol.
     */
    private static final Duration MAX_SERVER_LATENESS = Duration.ofSeconds(2);

    /** For a response that is as late as it may be, and a thread that reads it late. */
    private static final Duration PATIENCE = MAX_SERVER_LATENESS.plusMillis(100);

    /** Keeps a server useful that is later than the protocol expects. */
    private static final Duration LONG_PATIENCE = Duration.ofSeconds(6);

    /** How much later than scheduled a thread of a running process may act. */
    private static final Duration SUSPENSION_MARGIN = Duration.ofMillis(1_500);

    private static final Duration MAX_POLL_CYCLE = MAX_PROPAGATION_DELAY.minus(SCHEDULING_MARGIN);

    /** At most a tenth of a core handles responses, if they take up to 22 ms each. */
    private static final int PAUSE_PER_HANDLING_TIME = 9;

    /** Delays changes by less than a poll cycle leaves room for. */
    private static final Duration MAX_PAUSE_AFTER_RESPONSE = Duration.ofMillis(200);

    // ---- polling a local agent

    /**
     * An agent on the router's own machine usually responds at once. If the response to a fetch has
     * not begun within this time, another fetch is sent, so that the router recovers about 350 ms
     * after an outage ends.
     */
    private static final Duration AGENT_FIRST_BYTE_TIMEOUT = Duration.ofMillis(250);

    private static final Duration AGENT_RESPONSE_TIMEOUT = Duration.ofSeconds(1);

    /** Short enough to resume a watch quickly, long enough not to use up the core in a loop. */
    private static final Duration AGENT_BACKOFF = Duration.ofMillis(100);

    /**
     * One small request per second, so that a connection without responses is suspected within 1.5
     * s.
     */
    private static final Duration AGENT_WAIT = Duration.ofSeconds(1);

    private static final Duration AGENT_GRACE = Duration.ofMillis(500);

    // ---- polling the discovery server, which the requests of all routers load

    /** The server rejects requests that it could not answer within this time. */
    private static final Duration SERVER_RESPONSE_TIMEOUT = Duration.ofSeconds(2);

    /** Mean of the first pause; it doubles with each further failure. */
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(500);

    private static final int MAX_BACKOFF_EXPONENT = 10;

    /** Longer pauses would leave less time for a poll without a response. */
    private static final Duration MAX_BACKOFF = Duration.ofMillis(1_200);

    /** Longest jittered pause as a multiple of the mean; the shortest is 2 minus this factor. */
    private static final double MAX_JITTER_FACTOR = 1.5;

    /**
     * Shortest mean pause, whatever the settings say: it prevents a tight loop and keeps routers
     * apart.
     */
    private static final Duration MIN_MEAN_BACKOFF = AGENT_BACKOFF.multipliedBy(2);

    /**
     * Time that the poll cycle leaves for a poll without a response, longer than the server takes
     * to respond.
     */
    static final Duration MAX_SILENCE =
            MAX_POLL_CYCLE.minus(MAX_BACKOFF).minus(SERVER_RESPONSE_TIMEOUT);

    private static final Duration SERVER_GRACE = Duration.ofMillis(800);

    // ---- polling documents without a limit on their propagation delay

    /** As in the example of the protocol. */
    private static final Duration RELAXED_WAIT = Duration.ofSeconds(20);

    private static final Duration RELAXED_GRACE = Duration.ofSeconds(1);

    /**
     * For documents without a limit on their propagation delay, from a server for which polls are
     * cheap. One poll is pending at a time: the lease of a layout counts from its request.
     */
    public static final PollTimings RELAXED =
            new PollTimings(
                    RELAXED_WAIT,
                    RELAXED_GRACE,
                    SERVER_RESPONSE_TIMEOUT,
                    SERVER_RESPONSE_TIMEOUT,
                    List.of(),
                    failures -> AGENT_BACKOFF,
                    AGENT_BACKOFF);

    /** For discovery's agent on the router's own machine, for which polls are cheap. */
    public static final PollTimings LOCAL_AGENT =
            new PollTimings(
                    AGENT_WAIT,
                    AGENT_GRACE,
                    AGENT_RESPONSE_TIMEOUT,
                    AGENT_FIRST_BYTE_TIMEOUT,
                    List.of(PATIENCE, LONG_PATIENCE),
                    failures -> AGENT_BACKOFF,
                    AGENT_BACKOFF);

    /**
     * For the discovery server, which all routers may poll at once: pauses are jittered and grow.
     *
     * @param pollInterval longest mean pause between polls by the settings, or null
     */
    public static PollTimings discoveryServer(Duration pollInterval, Random random) {
        return new PollTimings(
                MAX_SILENCE.minus(SERVER_GRACE),
                SERVER_GRACE,
                SERVER_RESPONSE_TIMEOUT,
                SERVER_RESPONSE_TIMEOUT,
                List.of(PATIENCE),
                failures -> jitteredBackoff(failures, pollInterval, random),
                MAX_BACKOFF);
    }

    /** Returns how long the server is asked to wait before it answers such a request. */
    Duration wait(PollPlan.Request request) {
        return request == PollPlan.Request.LONG_POLL ? longPollWait : Duration.ZERO;
    }

    /** Returns the time from sending such a request until its response must have begun. */
    Duration firstByteTimeout(PollPlan.Request request) {
        return request == PollPlan.Request.LONG_POLL
                ? longPollWait.plus(longPollGrace)
                : firstByteTimeout;
    }

    /** Returns the time from the start of such a poll after which its response is overdue. */
    Duration promptTimeout(PollPlan.Request request) {
        return request == PollPlan.Request.LONG_POLL
                ? longPollWait.plus(longPollGrace)
                : responseTimeout;
    }

    /** Returns the longest time that such a poll may be pending. */
    public Duration maxDuration(PollPlan.Request request) {
        Duration prompt = promptTimeout(request).plus(firstByteTimeout(request));
        Duration maxLateness =
                latenessLimits.stream().max(Duration::compareTo).orElse(Duration.ZERO);
        Duration late = wait(request).plus(maxLateness);
        return late.compareTo(prompt) > 0 ? late : prompt;
    }

    /** Returns how long no response may be received once one is overdue, until that is reported. */
    public Duration silenceThreshold() {
        return latenessLimits.stream().min(Duration::compareTo).orElse(Duration.ZERO);
    }

    /**
     * Returns the pause after a response. If a server answers each poll with a large document, most
     * of the core is left for queries.
     *
     * @param handlingTime how long it took to decode and apply the response
     */
    Duration pauseAfterResponse(Duration handlingTime) {
        Duration pause = handlingTime.multipliedBy(PAUSE_PER_HANDLING_TIME);
        return pause.compareTo(MAX_PAUSE_AFTER_RESPONSE) < 0 ? pause : MAX_PAUSE_AFTER_RESPONSE;
    }

    /**
     * Returns the time without the end of a poll, or one that became overdue, after which the
     * process must have been suspended: longer than a poll and the pause before it.
     */
    public Duration suspensionThreshold() {
        Duration pause = maxBackoff.compareTo(MAX_BACKOFF) > 0 ? maxBackoff : MAX_BACKOFF;
        return promptTimeout(PollPlan.Request.LONG_POLL).plus(pause).plus(SUSPENSION_MARGIN);
    }

    /**
     * Returns the pause before the next poll. It grows while responses can't be used, as each may
     * be a list of thousands of nodes, but not beyond the pauses that a poll cycle leaves room for.
     *
     * @param failures number of consecutive failures
     * @param rejections how many of them were responses that can't be used
     */
    public Duration pauseAfterFailure(int failures, int rejections) {
        Duration pause = backoff.apply(failures);
        // A backoff that grows by itself keeps its jitter, so that routers do not poll in step.
        boolean backoffGrows = maxBackoff.compareTo(AGENT_BACKOFF) > 0;
        if (rejections == 0 || backoffGrows) {
            return pause;
        }
        int exponent = Math.min(rejections - 1, MAX_BACKOFF_EXPONENT);
        Duration grown = AGENT_BACKOFF.multipliedBy(1L << exponent);
        Duration limited = grown.compareTo(MAX_BACKOFF) < 0 ? grown : MAX_BACKOFF;
        return limited.compareTo(pause) > 0 ? limited : pause;
    }

    /**
     * Returns a random pause between half and one and a half times the mean pause after this number
     * of consecutive failures.
     */
    static Duration jitteredBackoff(int failures, Duration pollInterval, Random random) {
        long maxMean = Math.round(MAX_BACKOFF.toMillis() / MAX_JITTER_FACTOR);
        if (pollInterval != null && pollInterval.compareTo(MAX_BACKOFF) < 0) {
            maxMean = Math.min(maxMean, pollInterval.toMillis());
        }
        int exponent = Math.min(Math.max(failures - 1, 0), MAX_BACKOFF_EXPONENT);
        long doubled = INITIAL_BACKOFF.toMillis() << exponent;
        long mean = Math.max(MIN_MEAN_BACKOFF.toMillis(), Math.min(doubled, maxMean));
        return Duration.ofMillis(Math.round(mean * (MAX_JITTER_FACTOR - 1 + random.nextDouble())));
    }
}
