package postbeam.model;

import java.time.Duration;

/**
 * A class of queries: what its clients were promised and what its answers are worth. Classes are
 * compared by identity.
 */
public final class QueryClass {
    /** Time from the client's first request within which an answer is on time. */
    public final Duration latencyObjective;

    /** What a second execution of its shard requests does. */
    public final SideEffects sideEffects;

    /** How long nodes drop a second execution of a deduplicated request; null where not stated. */
    public final Duration deduplicationWindow;

    /** What a complete answer on time earns. */
    public final double utility;

    /** Share of the utility that an answer after the latency objective still earns. */
    public final double lateUtility;

    /** Share of the weight that makes a complete answer, from 0 to 1. */
    public final double requiredWeight;

    /** Least share of the weight for any answer, from 0 to 1. */
    public final double minimumWeight;

    /** Share of the utility that a partial answer earns, times its weight over the required one. */
    public final double partialUtility;

    /** The class of the requests that follow a first answer; null where a query has one step. */
    public final QueryClass secondStep;

    /** How long a client waits in all, with its retries; null where not stated. */
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

    /** Begins a class of queries that promises an answer within this time. */
    public static Builder builder(Duration latencyObjective, SideEffects sideEffects) {
        return new Builder(latencyObjective, sideEffects);
    }

    /** Begins a class that differs from this one in what is then set. */
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

    /** Whether less than all of its requests make a complete answer. */
    public boolean acceptsSubset() {
        return requiredWeight < 1;
    }

    /** Sets up a class; what is not set promises least: all requests needed, nothing for less. */
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

        /** Sets how long nodes drop a second execution; null where not stated. */
        public Builder deduplicationWindow(Duration window) {
            deduplicationWindow = window;
            return this;
        }

        /** Sets what a complete answer on time earns, and which share of it a late one does. */
        public Builder utility(double onTime, double lateShare) {
            utility = onTime;
            lateUtility = lateShare;
            return this;
        }

        /** Sets the share of the weight of a complete answer, and the least one for any answer. */
        public Builder weights(double required, double minimum) {
            requiredWeight = required;
            minimumWeight = minimum;
            return this;
        }

        /**
         * Sets the share of the utility that a partial answer earns, before its own weight counts.
         */
        public Builder partialUtility(double share) {
            partialUtility = share;
            return this;
        }

        /** Sets the class of the requests that follow a first answer; null for none. */
        public Builder secondStep(QueryClass second) {
            secondStep = second;
            return this;
        }

        /** Sets how long a client waits in all, with its retries; null where not stated. */
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
