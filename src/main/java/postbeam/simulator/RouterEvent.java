package postbeam.simulator;

import java.time.Duration;
import java.util.List;
import postbeam.endpoints.Endpoint;
import postbeam.model.AttemptOutcome;

/** An event for one simulated router. */
sealed interface RouterEvent {
    /** Calls the router's method for this event, at the given time since the router's start. */
    void deliverTo(SimulatedRouter router, Duration now);

    /**
     * A query has arrived.
     *
     * @param number number with which its shard requests refer to it
     * @param queryClass name of its class; null if absent
     * @param tenant name of its tenant; null if absent
     * @param timeout how long its client waits for the answer
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
     * @param estimatedWork estimated processing time at a node; null if there is no estimate
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
     * Endpoints have been received from discovery.
     *
     * @param complete whether the list has all endpoints; otherwise it has the changed ones only
     * @param polled whether the update is the result of a poll
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
            // The event needs no action.
        }
    }
}
