package postbeam.endpoints;

import java.time.Duration;
import java.util.Random;
import java.util.function.IntFunction;

/**
 * When discovery is asked for a watch, where it tells nothing unasked: at once, and again after a
 * failure or no answer. Guards against a list that no longer changes, and against all routers
 * asking again in step after an outage: each pause is drawn, and longer at first. It could hurt
 * where a pause outlasts the outage: hence {@code ROOM}. No I/O, clock or thread.
 */
public final class PollSchedule {
    /**
     * What discovery had and could be reached for counts as told so much later, whatever calls were
     * then out, had failed or had been refused: by the protocol.
     */
    private static final Duration MAX_PROPAGATION_DELAY = Duration.ofSeconds(6);

    /** Left of that for a router that is late on its part of a core, and for reading the list. */
    private static final Duration SCHEDULING_MARGIN = Duration.ofMillis(500);

    /**
     * The one bound on every pace. Calls that begin once discovery is back are answered, so what is
     * out then costs most: a watch for its hold and what it is waited for over that, or else a
     * whole list for as long as it may take; then the longest pause, and a whole list. However many
     * calls failed before:
     *
     * <pre>max(hold + over, answer) + longestPause + answer &lt;= ROOM</pre>
     *
     * Where the agent is asked, pause and answer fit in twice: one more call may fail after it is
     * back.
     */
    private static final Duration MAX_POLL_CYCLE = MAX_PROPAGATION_DELAY.minus(SCHEDULING_MARGIN);

    /**
     * Where the agent on the router's own machine is asked: it answers at once, back from an outage
     * too, and what it has then counts at once. So a whole list that has not begun by then is given
     * up and asked for anew: an outage ends for the router some 350 ms after it did, and nodes may
     * leave within 500 ms. It could hurt where a busy machine keeps the agent from answering: hence
     * each so many-th call is waited for as long as its answer may take.
     */
    private static final Duration AGENT_FIRST_BYTE_TIMEOUT = Duration.ofMillis(250);

    /** Calls: 19 of them and their pauses are 6.7 s, longer than the outages that were met. */
    private static final int PATIENT_POLL_INTERVAL = 20;

    /**
     * How long a whole list from it may take once it has begun, with its connecting and its
     * beginning.
     */
    private static final Duration AGENT_RESPONSE_TIMEOUT = Duration.ofSeconds(1);

    /** Between calls to it: soon enough for a watch to go on, and no loop that takes the core. */
    private static final Duration AGENT_BACKOFF = Duration.ofMillis(100);

    /**
     * A small GET each second, for a silent watch that is found 1.5 s after it began; 4 s would
     * save three of four.
     */
    private static final Duration AGENT_WAIT = Duration.ofSeconds(1);

    private static final Duration AGENT_GRACE = Duration.ofMillis(500);

    /**
     * How long a call may take where discovery itself answers: it turns away what it could not
     * answer within that.
     */
    private static final Duration SERVER_RESPONSE_TIMEOUT = Duration.ofSeconds(2);

    /**
     * First pause after a failure, doubled with each: a call takes discovery some ms for each
     * router.
     */
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(500);

    /**
     * The longest that a drawn pause gets: longer ones are taken from how long a call may be
     * silent.
     */
    private static final Duration MAX_BACKOFF = Duration.ofMillis(1_200);

    /** The longest that a drawn pause gets, as a multiple of its mean. */
    private static final double MAX_JITTER_FACTOR = 1.5;

    /**
     * No mean below this, whatever the settings say: as for the agent, no loop, and routers stay
     * drawn apart.
     */
    private static final Duration MIN_MEAN_BACKOFF = AGENT_BACKOFF.multipliedBy(2);

    /**
     * What is left for a call that tells nothing: over what discovery takes to answer. A watch is
     * held for what it is not waited for over its hold. A longer hold would save calls (one each
     * 1.5 s and router, which tell no line of a list while nothing changes), but what a silent one
     * missed would be asked for after it counts as told.
     */
    private static final Duration MAX_SILENCE =
            MAX_POLL_CYCLE.minus(MAX_BACKOFF).minus(SERVER_RESPONSE_TIMEOUT);

    private static final Duration SERVER_GRACE = Duration.ofMillis(800);

    /** How long a watch may wait for what no clock counts: as in the protocol's example. */
    private static final Duration RELAXED_WAIT = Duration.ofSeconds(20);

    private static final Duration RELAXED_GRACE = Duration.ofSeconds(1);

    /**
     * How something is followed by calls that cost what is asked: how long a watch may wait for
     * news, and is waited for over that; how long any other answer may take from connecting to its
     * last byte, and the rest of one that has begun; by when connecting is done and a whole list
     * has begun, after so many failures in a row; the pause after so many, and the longest that
     * there is.
     */
    public record PollTimings(
            Duration longPollWait,
            Duration longPollGrace,
            Duration responseTimeout,
            IntFunction<Duration> firstByteTimeout,
            IntFunction<Duration> backoff,
            Duration maxBackoff) {}

    /**
     * Where calls cost nothing but themselves, and no clock counts: each wait as long as it may be.
     */
    public static final PollTimings RELAXED =
            new PollTimings(
                    RELAXED_WAIT,
                    RELAXED_GRACE,
                    SERVER_RESPONSE_TIMEOUT,
                    failures -> SERVER_RESPONSE_TIMEOUT,
                    failures -> AGENT_BACKOFF,
                    AGENT_BACKOFF);

    /** Where discovery tells the agent by itself, and the agent is asked at no cost. */
    public static final PollTimings LOCAL_AGENT =
            new PollTimings(
                    AGENT_WAIT,
                    AGENT_GRACE,
                    AGENT_RESPONSE_TIMEOUT,
                    failures ->
                            failures % PATIENT_POLL_INTERVAL == PATIENT_POLL_INTERVAL - 1
                                    ? AGENT_RESPONSE_TIMEOUT
                                    : AGENT_FIRST_BYTE_TIMEOUT,
                    failures -> AGENT_BACKOFF,
                    AGENT_BACKOFF);

    private final boolean pollRequired;
    private final Duration pollInterval;
    private final Random random;
    private int consecutiveFailures;
    private Duration nextPollAt;

    /**
     * Whether discovery has to be asked, and within which time again; null for that where it is not
     * stated.
     */
    public PollSchedule(boolean needed, Duration askEvery, Random chance) {
        this.pollRequired = needed;
        this.pollInterval = askEvery;
        this.random = chance;
        this.nextPollAt = needed ? Duration.ZERO : null;
    }

    /** True where it is to be asked now; that it was is taken as done. */
    public boolean startPollIfDue(Duration now) {
        if (nextPollAt == null || now.compareTo(nextPollAt) < 0) {
            return false;
        }
        nextPollAt = now.plus(MAX_SILENCE);
        return true;
    }

    /** When it is to be asked next, as far as is known: null while the watch holds. */
    public Duration nextPollAt() {
        return nextPollAt;
    }

    /** It has answered or told of changes; or else a call failed, or the watch broke. */
    public void onPollResult(Duration now, boolean failed) {
        consecutiveFailures = failed ? consecutiveFailures + 1 : 0;
        nextPollAt =
                failed && pollRequired
                        ? now.plus(jitteredBackoff(consecutiveFailures, pollInterval, random))
                        : null;
    }

    /**
     * Where each call costs discovery work, and all routers may call at once: drawn pauses that
     * grow.
     */
    public static PollTimings discoveryServer(Duration askEvery, Random chance) {
        return new PollTimings(
                MAX_SILENCE.minus(SERVER_GRACE),
                SERVER_GRACE,
                SERVER_RESPONSE_TIMEOUT,
                failures -> SERVER_RESPONSE_TIMEOUT,
                failures -> jitteredBackoff(failures, askEvery, chance),
                MAX_BACKOFF);
    }

    /**
     * After so many failures in a row: from half to one and a half times the pause of that many.
     */
    private static Duration jitteredBackoff(int failures, Duration askEvery, Random chance) {
        long longest = Math.round(MAX_BACKOFF.toMillis() / MAX_JITTER_FACTOR);
        if (askEvery != null && askEvery.compareTo(MAX_BACKOFF) < 0) {
            longest = Math.min(longest, askEvery.toMillis());
        }
        long doubled = INITIAL_BACKOFF.toMillis() << Math.min(Math.max(failures - 1, 0), 10);
        long mean = Math.max(MIN_MEAN_BACKOFF.toMillis(), Math.min(doubled, longest));
        return Duration.ofMillis(Math.round(mean * (MAX_JITTER_FACTOR - 1 + chance.nextDouble())));
    }
}
