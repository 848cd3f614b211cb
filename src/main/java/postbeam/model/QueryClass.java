package postbeam.model;

import java.time.Duration;

/**
 * A class of queries with its service level objective and utilities. Classes are compared by
 * identity.
 */
public final class QueryClass {
    /** Time from the client's first request within which an answer is on time. */
    public final Duration latencyObjective;

    /** Effect of executing its shard requests more than once. */
    public final SideEffects sideEffects;

    /** How long nodes drop duplicates of a deduplicated request; null if not configured. */
    public final Duration deduplicationWindow;

    /** Utility of a complete answer on time. */
    public final double utility;

    /** Share of the utility of an answer after the latency objective. */
    public final double lateUtility;

    /** Share of the weight required for a complete answer, from 0 to 1. */
    public final double requiredWeight;

    /** Minimum share of the weight for a partial answer, from 0 to 1. */
    public final double minimumWeight;

    /**
     * Share of the utility of a partial answer, multiplied by its weight relative to the required
     * one.
     */
    public final double partialUtility;

    /**
     * The class of the second step, whose requests follow a first answer; null if there is one
     * step.
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

    /** Returns a builder of a class with this latency objective. */
    public static Builder builder(Duration latencyObjective, SideEffects sideEffects) {
        return new Builder(latencyObjective, sideEffects);
    }

    /** Returns a builder initialised with this class. */
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

    /** Whether a subset of its requests makes a complete answer. */
    public boolean acceptsSubset() {
        return requiredWeight < 1;
    }

    /**
     * Builder of query classes. By default all requests are required and late or partial answers
     * earn nothing.
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

        /** Sets how long nodes drop duplicates; null if not configured. */
        public Builder deduplicationWindow(Duration window) {
            deduplicationWindow = window;
            return this;
        }

        /** Sets the utility of a complete answer on time, and the share of it of a late one. */
        public Builder utility(double onTime, double lateShare) {
            utility = onTime;
            lateUtility = lateShare;
            return this;
        }

        /** Sets the shares of the weight for a complete and for a partial answer. */
        public Builder weights(double required, double minimum) {
            requiredWeight = required;
            minimumWeight = minimum;
            return this;
        }

        /** Sets the share of the utility of a partial answer. */
        public Builder partialUtility(double share) {
            partialUtility = share;
            return this;
        }

        /** Sets the class of the second step; null for none. */
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
