package postbeam.model;

import java.time.Duration;

/**
 * A class of queries with a common service level objective and common utilities. Classes are
 * compared by identity.
 */
public final class QueryClass {
    /** Time after the client's first request within which an answer is on time. */
    public final Duration latencyObjective;

    /** Effect of executing a shard request of the class more than once. */
    public final SideEffects sideEffects;

    /**
     * Time for which data nodes drop duplicates of a deduplicated request; null if not configured.
     */
    public final Duration deduplicationWindow;

    /** Utility of a complete answer that is on time. */
    public final double utility;

    /**
     * Utility of an answer after the latency objective, as a fraction of the utility of an answer
     * on time.
     */
    public final double lateUtility;

    /** Share of the total weight that a complete answer requires, from 0 to 1. */
    public final double requiredWeight;

    /** Minimum share of the total weight for a partial answer, from 0 to 1. */
    public final double minimumWeight;

    /**
     * Utility of a partial answer as a fraction of the utility of a complete answer; it is
     * multiplied by the ratio of the answered to the required weight.
     */
    public final double partialUtility;

    /**
     * Class of the second step, whose requests the client sends after the first answer; null if
     * queries have one step.
     */
    public final QueryClass secondStep;

    /** Total time that a client waits, including its retries; null if not configured. */
    public final Duration totalClientTimeout;

    private QueryClass(Builder builder) {
        latencyObjective = builder.latencyObjective;
        sideEffects = builder.sideEffects;
        deduplicationWindow = builder.deduplicationWindow;
        utility = builder.utility;
        lateUtility = builder.lateUtility;
        requiredWeight = builder.requiredWeight;
        minimumWeight = builder.minimumWeight;
        partialUtility = builder.partialUtility;
        secondStep = builder.secondStep;
        totalClientTimeout = builder.totalClientTimeout;
    }

    /** Returns a builder of a class with this latency objective and these side effects. */
    public static Builder builder(Duration latencyObjective, SideEffects sideEffects) {
        return new Builder(latencyObjective, sideEffects);
    }

    /** Returns a builder that is initialised with this class. */
    public Builder toBuilder() {
        Builder builder = new Builder(latencyObjective, sideEffects);
        builder.deduplicationWindow = deduplicationWindow;
        builder.utility = utility;
        builder.lateUtility = lateUtility;
        builder.requiredWeight = requiredWeight;
        builder.minimumWeight = minimumWeight;
        builder.partialUtility = partialUtility;
        builder.secondStep = secondStep;
        builder.totalClientTimeout = totalClientTimeout;
        return builder;
    }

    /** Returns whether a subset of the requests can make a complete answer. */
    public boolean acceptsSubset() {
        return requiredWeight < 1;
    }

    /**
     * Builder of query classes. By default, all requests are required, and late or partial answers
     * have no utility.
     */
    public static final class Builder {
        private final Duration latencyObjective;
        private final SideEffects sideEffects;
        private Duration deduplicationWindow;
        private double utility = 1;
        private double lateUtility;
        private double requiredWeight = 1;
        private double minimumWeight = 1;
        private double partialUtility;
        private QueryClass secondStep;
        private Duration totalClientTimeout;

        private Builder(Duration latencyObjective, SideEffects sideEffects) {
            this.latencyObjective = latencyObjective;
            this.sideEffects = sideEffects;
        }

        /** Sets the time for which data nodes drop duplicates; null if not configured. */
        public Builder deduplicationWindow(Duration window) {
            deduplicationWindow = window;
            return this;
        }

        /**
         * Sets the utility of a complete answer on time, and the utility of a late answer as a
         * fraction of it.
         */
        public Builder utility(double onTime, double lateShare) {
            utility = onTime;
            lateUtility = lateShare;
            return this;
        }

        /** Sets the shares of the total weight that a complete and a partial answer need. */
        public Builder weights(double required, double minimum) {
            requiredWeight = required;
            minimumWeight = minimum;
            return this;
        }

        /**
         * Sets the utility of a partial answer as a fraction of the utility of a complete answer.
         */
        public Builder partialUtility(double share) {
            partialUtility = share;
            return this;
        }

        /** Sets the class of the second step; null if there is none. */
        public Builder secondStep(QueryClass second) {
            secondStep = second;
            return this;
        }

        /** Sets the total time that a client waits; null if not configured. */
        public Builder totalClientTimeout(Duration timeout) {
            totalClientTimeout = timeout;
            return this;
        }

        /** Creates the class. */
        public QueryClass build() {
            return new QueryClass(this);
        }
    }
}
