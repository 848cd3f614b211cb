package postbeam.endpoints;

import java.time.Duration;
import java.util.Random;
import java.util.function.IntFunction;

/**
 * How long the polls of one watched document may take, and the pauses between them.
 *
 * <p>Discovery bounds them: what it had and could be reached for counts as known to the router
 * after {@link #MAX_PROPAGATION_DELAY}, whatever polls were then under way, had failed or had been
 * refused. Polls that begin once discovery is back are answered, so the longest cycle is a poll
 * that began just before: a long poll that stays silent, or a fetch that takes its whole timeout;
 * then the longest pause; then a fetch. However many polls failed before:
 *
 * <pre>max(longPollWait + longPollGrace, responseTimeout) + maxBackoff + responseTimeout
 *     &lt;= MAX_POLL_CYCLE</pre>
 *
 * <p>For a local agent, pause and fetch fit in twice: one more poll may fail after it is back.
 *
 * @param longPollWait how long the server is asked to wait for a change
 * @param longPollGrace how long its response may take beyond that
 * @param responseTimeout for any other response, from connecting to its last byte, and for the rest
 *     of a long poll's response that has begun
 * @param firstByteTimeout by when connecting is done and a fetch's response has begun, by the
 *     number of failures in a row
 * @param backoff pause before the next poll, by the number of failures in a row
 * @param maxBackoff the longest of these pauses
 */
public record PollTimings(
        Duration longPollWait,
        Duration longPollGrace,
        Duration responseTimeout,
        IntFunction<Duration> firstByteTimeout,
        IntFunction<Duration> backoff,
        Duration maxBackoff) {

    /** By the protocol. */
    private static final Duration MAX_PROPAGATION_DELAY = Duration.ofSeconds(6);

    /** Left of that for a router that is scheduled late, and for decoding the list. */
    private static final Duration SCHEDULING_MARGIN = Duration.ofMillis(500);

    private static final Duration MAX_POLL_CYCLE = MAX_PROPAGATION_DELAY.minus(SCHEDULING_MARGIN);

    // ---- polling a local agent

    /**
     * An agent on the router's own machine responds at once. A fetch that has not begun by then is
     * given up and sent again, so that an outage ends for the router some 350 ms after it did.
     */
    private static final Duration AGENT_FIRST_BYTE_TIMEOUT = Duration.ofMillis(250);

    /**
     * Every so many-th fetch is waited for as long as its response may take, as a busy machine may
     * keep the agent from responding. The others and their pauses are 6.7 s.
     */
    private static final int FULL_TIMEOUT_INTERVAL = 20;

    private static final Duration AGENT_RESPONSE_TIMEOUT = Duration.ofSeconds(1);

    /** Soon enough for a watch to go on, and no loop that takes the core. */
    private static final Duration AGENT_BACKOFF = Duration.ofMillis(100);

    /** A small request each second, so that a silent watch is found 1.5 s after it began. */
    private static final Duration AGENT_WAIT = Duration.ofSeconds(1);

    private static final Duration AGENT_GRACE = Duration.ofMillis(500);

    // ---- polling the discovery server, where each request of each router costs it work

    /** The server rejects what it could not answer within that. */
    private static final Duration SERVER_RESPONSE_TIMEOUT = Duration.ofSeconds(2);

    /** The mean of the first pause; doubled with each further failure. */
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(500);

    private static final int MAX_BACKOFF_EXPONENT = 10;

    /** Longer pauses would be at the expense of how long a poll may be silent. */
    private static final Duration MAX_BACKOFF = Duration.ofMillis(1_200);

    /**
     * The longest that a jittered pause gets, as a multiple of its mean; the shortest is the rest
     * of 2.
     */
    private static final double MAX_JITTER_FACTOR = 1.5;

    /** No mean below this, whatever the settings say: no loop, and routers stay spread. */
    private static final Duration MIN_MEAN_BACKOFF = AGENT_BACKOFF.multipliedBy(2);

    /**
     * What the cycle leaves for a poll that stays silent, more than the server takes to respond.
     */
    static final Duration MAX_SILENCE =
            MAX_POLL_CYCLE.minus(MAX_BACKOFF).minus(SERVER_RESPONSE_TIMEOUT);

    private static final Duration SERVER_GRACE = Duration.ofMillis(800);

    // ---- polling what is not bound by a propagation delay

    /** As in the protocol's example. */
    private static final Duration RELAXED_WAIT = Duration.ofSeconds(20);

    private static final Duration RELAXED_GRACE = Duration.ofSeconds(1);

    /**
     * For documents without a bound on their propagation, from a server that polls cost nothing.
     */
    public static final PollTimings RELAXED =
            new PollTimings(
                    RELAXED_WAIT,
                    RELAXED_GRACE,
                    SERVER_RESPONSE_TIMEOUT,
                    failures -> SERVER_RESPONSE_TIMEOUT,
                    failures -> AGENT_BACKOFF,
                    AGENT_BACKOFF);

    /** For discovery's agent on the router's own machine, which polls cost nothing. */
    public static final PollTimings LOCAL_AGENT =
            new PollTimings(
                    AGENT_WAIT,
                    AGENT_GRACE,
                    AGENT_RESPONSE_TIMEOUT,
                    PollTimings::agentFirstByteTimeout,
                    failures -> AGENT_BACKOFF,
                    AGENT_BACKOFF);

    /**
     * For discovery itself, which all routers may poll at once: pauses are jittered and grow.
     *
     * @param pollInterval that the settings allow at most between polls, or null
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

    private static Duration agentFirstByteTimeout(int failures) {
        boolean fullTimeout = failures % FULL_TIMEOUT_INTERVAL == FULL_TIMEOUT_INTERVAL - 1;
        return fullTimeout ? AGENT_RESPONSE_TIMEOUT : AGENT_FIRST_BYTE_TIMEOUT;
    }

    /**
     * After so many failures in a row: from half to one and a half times the mean pause after that
     * many.
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
