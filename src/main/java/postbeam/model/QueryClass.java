package postbeam.model;

import java.time.Duration;

/** A kind of query: what its clients were promised, and what has been seen of its parts. */
public final class QueryClass {
    public final Duration latencyObjective;
    public final SideEffects sideEffects;

    /** How long a repeat of a deduplicated part is dropped; null where not stated. */
    public final Duration deduplicationWindow;

    public final double utility;

    /** Share of the utility that an answer after the SLO time still earns. */
    public final double lateUtility;

    /** Share of the weight that makes a whole answer, and the least share for any answer. */
    public final double requiredWeight;

    public final double minimumWeight;

    /** What a partial answer earns, times share / need. */
    public final double partialUtility;

    /**
     * What the parts are that come once a first answer is put together; null where a query has one
     * step.
     */
    public final QueryClass secondStep;

    /** How long a client waits in all, with its repeats; null where not stated. Set up once. */
    public Duration totalClientTimeout;

    /** What clients wait at their first try, the shorter of late; null before one. */
    public Duration firstTryTimeout;

    /**
     * Time that a part takes at a node with nothing else to do, as learnt; null before the first.
     */
    public Duration baselineLatency;

    /** When an answer last told of it. */
    public Duration baselineUpdatedAt = Duration.ZERO;

    public QueryClass(
            Duration sloTime,
            SideEffects effect,
            Duration repeatWindow,
            double utility,
            double lateUtility,
            double need,
            double floor,
            double shortUtility) {
        this(sloTime, effect, repeatWindow, utility, lateUtility, need, floor, shortUtility, null);
    }

    private QueryClass(
            Duration sloTime,
            SideEffects effect,
            Duration repeatWindow,
            double utility,
            double lateUtility,
            double need,
            double floor,
            double shortUtility,
            QueryClass second) {
        this.latencyObjective = sloTime;
        this.sideEffects = effect;
        this.deduplicationWindow = repeatWindow;
        this.utility = utility;
        this.lateUtility = lateUtility;
        this.requiredWeight = need;
        this.minimumWeight = floor;
        this.partialUtility = shortUtility;
        this.secondStep = second;
    }

    /** The same with a second step. */
    public QueryClass withSecondStep(QueryClass second) {
        QueryClass both =
                new QueryClass(
                        latencyObjective,
                        sideEffects,
                        deduplicationWindow,
                        utility,
                        lateUtility,
                        requiredWeight,
                        minimumWeight,
                        partialUtility,
                        second);
        both.totalClientTimeout = totalClientTimeout;
        return both;
    }

    public boolean acceptsSubset() {
        return requiredWeight < 1;
    }
}
