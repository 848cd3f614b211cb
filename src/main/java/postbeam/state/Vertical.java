package postbeam.state;

import java.time.Duration;

/** A kind of query: what its clients were promised, and what has been seen of its parts. */
public final class Vertical {
    public final Duration sloTime;
    public final Effect effect;

    /** How long a repeat of a deduplicated part is dropped; null where not stated. */
    public final Duration repeatWindow;

    public final double utility;

    /** Share of the utility that an answer after the SLO time still earns. */
    public final double lateUtility;

    /** Share of the weight that makes a whole answer, and the least share for any answer. */
    public final double need;

    public final double floor;

    /** What a partial answer earns, times share / need. */
    public final double shortUtility;

    /**
     * What the parts are that come once a first answer is put together; null where a query has one
     * step.
     */
    public final Vertical second;

    /** How long a client waits in all, with its repeats; null where not stated. Set up once. */
    public Duration allWait;

    /** What clients wait at their first try, the shorter of late; null before one. */
    public Duration firstWait;

    /**
     * Time that a part takes at a node with nothing else to do, as learnt; null before the first.
     */
    public Duration quietTime;

    /** When an answer last told of it. */
    public Duration quietAt = Duration.ZERO;

    public Vertical(
            Duration sloTime,
            Effect effect,
            Duration repeatWindow,
            double utility,
            double lateUtility,
            double need,
            double floor,
            double shortUtility) {
        this(sloTime, effect, repeatWindow, utility, lateUtility, need, floor, shortUtility, null);
    }

    private Vertical(
            Duration sloTime,
            Effect effect,
            Duration repeatWindow,
            double utility,
            double lateUtility,
            double need,
            double floor,
            double shortUtility,
            Vertical second) {
        this.sloTime = sloTime;
        this.effect = effect;
        this.repeatWindow = repeatWindow;
        this.utility = utility;
        this.lateUtility = lateUtility;
        this.need = need;
        this.floor = floor;
        this.shortUtility = shortUtility;
        this.second = second;
    }

    /** The same with a second step. */
    public Vertical followedBy(Vertical second) {
        Vertical both =
                new Vertical(
                        sloTime,
                        effect,
                        repeatWindow,
                        utility,
                        lateUtility,
                        need,
                        floor,
                        shortUtility,
                        second);
        both.allWait = allWait;
        return both;
    }

    public boolean anyN() {
        return need < 1;
    }
}
