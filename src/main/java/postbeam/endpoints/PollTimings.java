package postbeam.endpoints;

import java.time.Duration;
import java.util.Random;
import java.util.function.IntFunction;

/**
 * Timeouts of the polls of one watched document and the pauses between them.
 *
 * <p>Discovery limits them: changes that it had, while it could be reached, count as known to the
 * router after {@link #MAX_PROPAGATION_DELAY}, even if polls were pending, failed or were rejected.
 * Polls that begin once discovery is back are answered. The longest cycle therefore starts with a
 * poll that began just before that: a long poll that gets no response, or a fetch that takes its
 * whole timeout. The longest pause and another fetch follow. For any number of earlier failures:
 *
 * <pre>max(longPollWait + longPollGrace, responseTimeout) + maxBackoff + responseTimeout
 *     &lt;= MAX_POLL_CYCLE</pre>
 *
 * <p>For a local agent, the pause and the fetch fit in twice: one more poll may fail after the
 * agent is back.
 *
 * @param longPollWait how long the server is asked to wait for a change
 * @param longPollGrace how much longer the server's response may take
 * @param responseTimeout for any other response, from connecting to its last byte, and for the
 *     remainder of a long poll's response once it has begun
 * @param firstByteTimeout limit for connecting and for the first byte of a fetch's response, by the
 *     number of consecutive failures
 * @param backoff pause before the next poll, by the number of consecutive failures
 * @param maxBackoff the longest of these pauses
 */
public record PollTimings(
        Duration longPollWait,
        Duration longPollGrace,
        Duration responseTimeout,
        IntFunction<Duration> firstByteTimeout,
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

    private static final Duration MAX_POLL_CYCLE = MAX_PROPAGATION_DELAY.minus(SCHEDULING_MARGIN);

    // ---- polling a local agent

    /**
     * An agent on the router's own machine responds at once. A fetch whose response has not begun
     * within this time is abandoned and repeated, so that the router recovers about 350 ms after an
     * outage ends.
     */
    private static final Duration AGENT_FIRST_BYTE_TIMEOUT = Duration.ofMillis(250);

    /**
     * One fetch in this many consecutive failures may take the full response timeout, since a busy
     * machine may delay the agent. The polls between two of these, with their pauses, take 6.7 s.
     */
    private static final int FULL_TIMEOUT_INTERVAL = 20;

    private static final Duration AGENT_RESPONSE_TIMEOUT = Duration.ofSeconds(1);

    /** Short enough to resume a watch quickly, long enough not to use up the core in a loop. */
    private static final Duration AGENT_BACKOFF = Duration.ofMillis(100);

    /**
     * One small request per second, so that a connection without responses is detected within 1.5
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
     * cheap.
     */
    public static final PollTimings RELAXED =
            new PollTimings(
                    RELAXED_WAIT,
                    RELAXED_GRACE,
                    SERVER_RESPONSE_TIMEOUT,
                    failures -> SERVER_RESPONSE_TIMEOUT,
                    failures -> AGENT_BACKOFF,
                    AGENT_BACKOFF);

    /** For discovery's agent on the router's own machine, for which polls are cheap. */
    public static final PollTimings LOCAL_AGENT =
            new PollTimings(
                    AGENT_WAIT,
                    AGENT_GRACE,
                    AGENT_RESPONSE_TIMEOUT,
                    PollTimings::agentFirstByteTimeout,
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
                failures -> SERVER_RESPONSE_TIMEOUT,
                failures -> jitteredBackoff(failures, pollInterval, random),
                MAX_BACKOFF);
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
        if (rejections == 0) {
            return pause;
        }
        int exponent = Math.min(rejections - 1, MAX_BACKOFF_EXPONENT);
        Duration grown = AGENT_BACKOFF.multipliedBy(1L << exponent);
        Duration limited = grown.compareTo(MAX_BACKOFF) < 0 ? grown : MAX_BACKOFF;
        return limited.compareTo(pause) > 0 ? limited : pause;
    }

    private static Duration agentFirstByteTimeout(int failures) {
        boolean fullTimeout = failures % FULL_TIMEOUT_INTERVAL == FULL_TIMEOUT_INTERVAL - 1;
        return fullTimeout ? AGENT_RESPONSE_TIMEOUT : AGENT_FIRST_BYTE_TIMEOUT;
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
