package postbeam.simulator;

import java.time.Duration;
import java.util.List;
import postbeam.endpoints.Endpoint;
import postbeam.model.AttemptOutcome;

/** An event for one simulated router. */
sealed interface RouterEvent {
    /** Reports the event to its router. */
    void deliverTo(SimulatedRouter router, Duration now);

    /**
     * A query has arrived.
     *
     * @param number by which its shard requests refer to it
     * @param queryClass name of its class; null if absent
     * @param tenant name of its tenant; null if absent
     * @param timeout time that its client waits
     * @param clientRetry whether its client marks it as a retry
     */
    record QueryArrival(
            String id,
            long number,
            String queryClass,
            String tenant,
            Duration timeout,
            boolean clientRetry)
            implements RouterEvent {
        @Override
        public void deliverTo(SimulatedRouter router, Duration now) {
            router.onQuery(now, this);
        }
    }

    /**
     * A shard request of a query has arrived.
     *
     * @param estimatedWork null without a hint
     */
    record ShardRequestArrival(
            String id, long queryNumber, int shard, double weight, Duration estimatedWork)
            implements RouterEvent {
        @Override
        public void deliverTo(SimulatedRouter router, Duration now) {
            router.onShardRequest(now, this);
        }
    }

    /**
     * An attempt has ended.
     *
     * @param attemptIndex index of the attempt among those of its shard request
     * @param isLast whether the shard request may have no further attempts
     * @param latency time since the attempt was sent
     */
    record AttemptReport(
            String requestId,
            int attemptIndex,
            AttemptOutcome outcome,
            boolean isLast,
            Duration latency)
            implements RouterEvent {
        @Override
        public void deliverTo(SimulatedRouter router, Duration now) {
            router.onAttemptReport(now, this);
        }
    }

    /** The client of a query has disconnected. */
    record ClientDisconnect(String queryId) implements RouterEvent {
        @Override
        public void deliverTo(SimulatedRouter router, Duration now) {
            router.onClientDisconnect(now, this);
        }
    }

    /** A health probe of a node has succeeded or failed. */
    record ProbeResult(String node, boolean healthy) implements RouterEvent {
        @Override
        public void deliverTo(SimulatedRouter router, Duration now) {
            router.onProbeResult(now, this);
        }
    }

    /** A timer has expired; the cookie is the one that it was set with. */
    record TimerExpiry(int cookie) implements RouterEvent {
        @Override
        public void deliverTo(SimulatedRouter router, Duration now) {
            router.onTimer(now, this);
        }
    }

    /** A poll of discovery has failed. */
    record PollFailure() implements RouterEvent {
        @Override
        public void deliverTo(SimulatedRouter router, Duration now) {
            router.onPollFailure(now);
        }
    }

    /**
     * Endpoints were listed.
     *
     * @param complete whether these are all endpoints, else changed ones
     * @param polled whether this answers a poll of discovery
     */
    record EndpointUpdate(List<Endpoint> endpoints, boolean complete, boolean polled)
            implements RouterEvent {
        @Override
        public void deliverTo(SimulatedRouter router, Duration now) {
            router.onEndpointUpdate(now, this);
        }
    }

    /** An event that no simulated router uses. */
    record Ignored() implements RouterEvent {
        @Override
        public void deliverTo(SimulatedRouter router, Duration now) {
            // Nothing to do.
        }
    }
}
