package postbeam.roster;

import java.time.Duration;
import java.util.Random;
import java.util.function.IntFunction;

/**
 * When discovery is asked for a watch, where it tells nothing unasked: at once, and again after a failure or no answer.
 * Guards against a list that no longer changes, and against all routers asking again in step after an outage: each
 * pause is drawn, and longer each time. It could hurt where a long pause outlasts the outage. No I/O, clock or thread.
 */
public final class Asking {
    /** First pause after a failure, doubled with each: a call takes discovery some ms for each router. */
    private static final Duration PAUSE = Duration.ofMillis(500);
    /** Time after which a call with no answer counts as failed: longer than discovery lets calls wait. */
    private static final Duration UNANSWERED = Duration.ofSeconds(5);

    /** What a watch missed that fell silent counts as told so much later, by the protocol. */
    private static final Duration TOLD_AFTER = Duration.ofSeconds(6);
    /** Where the call may wait, it counts so long after the wait's end, if that is later. */
    private static final Duration TOLD_AFTER_WAIT = Duration.ofSeconds(2);
    /** How long a watch may wait where calls are priced or go far: as in the protocol's example. */
    private static final Duration WAIT = Duration.ofSeconds(20);
    /** How long a call may take where discovery itself answers: it turns away what it could not answer within that. */
    private static final Duration PRICED_ANSWER = Duration.ofSeconds(2);
    /** How long where the agent on the router's own machine does, which answers at once, back from an outage too. */
    private static final Duration FREE_ANSWER = Duration.ofSeconds(1);
    /** Between calls to it: soon enough for a watch to go on, and no loop that takes the core. */
    private static final Duration FREE_PAUSE = Duration.ofMillis(100);
    /** The longest that a drawn pause gets, as a multiple of its mean. */
    private static final double DRAWN_MOST = 1.5;

    /**
     * How something is followed by calls that cost what is asked: how long a watch may wait for news, how long any
     * other answer, or the rest of one that has begun, may take, and the pause after so many failures in a row.
     */
    public record Pace(Duration hold, Duration answer, IntFunction<Duration> pause) { }

    /** Where calls cost nothing but themselves, and what is followed may be far: each wait as long as it may be. */
    public static final Pace SOON = new Pace(WAIT, PRICED_ANSWER, failures -> FREE_PAUSE);

    /**
     * Where discovery tells the agent by itself, and the agent is asked at no cost. The watch waits for as long as it
     * can without moving the time that what a silent one missed counts as told; a longer one would serve by an old
     * list for longer and save nothing that is priced.
     */
    public static final Pace FREE = new Pace(TOLD_AFTER.minus(TOLD_AFTER_WAIT), FREE_ANSWER, failures -> FREE_PAUSE);

    private final boolean needed;
    private final Duration longest;
    private final Random chance;
    private int failures;
    private Duration at;

    /** Whether discovery has to be asked, and within which time again; null for that where it is not stated. */
    public Asking(boolean needed, Duration askEvery, Random chance) {
        this.needed = needed;
        this.longest = askEvery == null ? UNANSWERED : askEvery;
        this.chance = chance;
        this.at = needed ? Duration.ZERO : null;
    }

    /** True where it is to be asked now; that it was is taken as done. */
    public boolean due(Duration now) {
        if (at == null || now.compareTo(at) < 0) {
            return false;
        }
        at = now.plus(UNANSWERED);
        return true;
    }

    /** When it is to be asked next, as far as is known: null while the watch holds. */
    public Duration at() {
        return at;
    }

    /** It has answered or told of changes; or else a call failed, or the watch broke. */
    public void answered(Duration now, boolean failed) {
        failures = failed ? failures + 1 : 0;
        at = failed && needed ? now.plus(pause(failures, longest, chance)) : null;
    }

    /**
     * Where each call costs discovery work, and all routers may call at once: long waits and drawn pauses that grow,
     * up to what still leaves room for two calls within the time that silence counts as told.
     */
    public static Pace priced(Duration askEvery, Random chance) {
        Duration room = Duration.ofMillis(
                Math.round(TOLD_AFTER.minus(PRICED_ANSWER.multipliedBy(2)).toMillis() / DRAWN_MOST));
        Duration longest = askEvery == null || room.compareTo(askEvery) < 0 ? room : askEvery;
        return new Pace(WAIT, PRICED_ANSWER, failures -> pause(failures, longest, chance));
    }

    /** After so many failures in a row: from half to one and a half times the pause of that many. */
    public static Duration pause(int failures, Duration longest, Random chance) {
        Duration doubled = PAUSE.multipliedBy(1L << Math.min(failures - 1, 10));
        Duration mean = longest == null || doubled.compareTo(longest) < 0 ? doubled : longest;
        return Duration.ofMillis(Math.round(mean.toMillis() * (DRAWN_MOST - 1 + chance.nextDouble())));
    }
}
