package postbeam.roster;

import java.time.Duration;
import java.util.Random;

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

    /** After so many failures in a row: from half to one and a half times the pause of that many. */
    public static Duration pause(int failures, Duration longest, Random chance) {
        Duration doubled = PAUSE.multipliedBy(1L << Math.min(failures - 1, 10));
        Duration mean = longest == null || doubled.compareTo(longest) < 0 ? doubled : longest;
        return Duration.ofMillis(Math.round(mean.toMillis() * (0.5 + chance.nextDouble())));
    }
}
