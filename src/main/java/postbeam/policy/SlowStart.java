package postbeam.policy;

import static postbeam.model.Durations.seconds;

import java.time.Duration;
import postbeam.model.DataNode;
import postbeam.model.ShardRequest;

/**
 * Limits the work sent to a data node that is warming up. Work is the estimated processing time of
 * requests at the data node. The budget for a window is divided evenly among all routers. With many
 * routers, a share can be less than one request; each router then rounds its share to whole
 * requests at random. Once for each node, it draws a random number from 0 to 1, the sampling
 * threshold, and sends the last request only if its share covers at least that fraction of it. The
 * sum over all routers then stays within the budget on average. Its standard deviation is at most
 * the square root of the budget, both counted in requests.
 */
public final class SlowStart {
    /**
     * Capacity of a warm node, in seconds of processing time per second; a node has at least two
     * cores.
     */
    private static final double WARM_WORK_RATE = 2.0;

    /**
     * Fraction of the work budget that this class lets routers use; the rest is reserved for
     * requests in transit.
     */
    private static final double BUDGET_UTILIZATION = 0.9;

    /**
     * Minimum number of routers for which each router's share of the budget is rounded to whole
     * requests at random.
     */
    private static final int SAMPLING_MIN_ROUTERS = 9;

    /**
     * Window of the work counters if no work limit is configured; the counters are not read then.
     */
    private static final Duration UNUSED_WINDOW = Duration.ofSeconds(4);

    private final double initialCapacityShare;
    private final Duration rampDuration;
    private final Double loadFactor;
    private final Duration window;
    private final int routerCount;
    private final Duration callOverhead;
    private final Duration connectTimeout;

    /**
     * Creates the limit. A null parameter means that the limit is not configured.
     *
     * @param initialCapacityShare share of its capacity that a node has when it starts
     * @param rampDuration time from the start until the node has its full capacity
     * @param loadFactor multiple of its capacity that a node may be sent per window; null if work
     *     is not limited
     * @param window sliding window over which work is counted; null if work is not limited
     * @param routerCount number of routers among which the budget is divided
     * @param callOverhead additional work of each call
     * @param connectTimeout maximum delay between the decision to send a request and its sending
     */
    public SlowStart(
            Double initialCapacityShare,
            Duration rampDuration,
            Double loadFactor,
            Duration window,
            Integer routerCount,
            Duration callOverhead,
            Duration connectTimeout) {
        this.initialCapacityShare = initialCapacityShare == null ? 0 : initialCapacityShare;
        this.rampDuration = rampDuration;
        this.loadFactor = loadFactor;
        this.window = window;
        this.routerCount = routerCount == null ? 1 : Math.max(1, routerCount);
        this.callOverhead = callOverhead == null ? Duration.ZERO : callOverhead;
        this.connectTimeout = connectTimeout == null ? Duration.ZERO : connectTimeout;
    }

    /** Returns the number of routers among which budgets are divided. */
    int routerCount() {
        return routerCount;
    }

    /** Creates the warm-up state of a node that is in the endpoint list for the first time. */
    NodeWarmUp newNode(double samplingThreshold) {
        return new NodeWarmUp(samplingThreshold, window == null ? UNUSED_WINDOW : countedWindow());
    }

    /**
     * Returns the span over which sent work is counted: the window, extended by the maximum delay
     * between the decision to send a request and its sending.
     */
    private Duration countedWindow() {
        return window.plus(connectTimeout);
    }

    /**
     * Returns the estimated processing time of the request at a data node, including the overhead
     * of the call; {@code baseline} if the client gave no estimate.
     */
    Duration estimateWork(ShardRequest request, Duration baseline) {
        return request.estimatedWork == null ? baseline : request.estimatedWork.plus(callOverhead);
    }

    void onUnreachable(Duration now, DataNode node) {
        NodeState.of(node).warmUp.onUnreachable(now);
    }

    /** Called when the endpoint list reports the start time of the node. */
    void onStartKnown(DataNode node, Duration startedAt) {
        NodeState.of(node).warmUp.onStartKnown(startedAt);
    }

    /**
     * Returns the time since which the node may be warming up; null if it is not known or long ago.
     */
    Duration warmingUpSince(DataNode node) {
        return NodeState.of(node).warmUp.warmingUpSince(node.startedAt());
    }

    /**
     * Records work sent to the node for a shard. {@code acquiredAt} is null if the node has not
     * recently acquired the shard.
     */
    void recordSent(Duration now, DataNode node, Duration acquiredAt, Duration work) {
        NodeWarmUp warmUp = NodeState.of(node).warmUp;
        warmUp.recordWork(now, work);
        if (acquiredAt != null) {
            warmUp.recordWorkOnAcquiredShard(now, work);
        }
    }

    /**
     * Returns whether a request with this work may be sent to the node without exceeding this
     * router's budget. The budget follows from the node's capacity at the beginning of the window,
     * so that the work in every window is within it. A shard that the node has recently acquired
     * has a budget of its own, as its data is not yet cached at the node.
     */
    boolean allows(Duration now, DataNode node, Duration acquiredAt, Duration work) {
        NodeWarmUp warmUp = NodeState.of(node).warmUp;
        Duration warmingUpSince = warmingUpSince(node);
        if (isWarmingUp(now, warmingUpSince)
                && !isWithinBudget(
                        now, warmingUpSince, warmUp.recentWorkSeconds(now), warmUp, work)) {
            return false;
        }
        return !isWarmingUp(now, acquiredAt)
                || isWithinBudget(
                        now,
                        acquiredAt,
                        warmUp.recentWorkSecondsOnAcquiredShards(now),
                        warmUp,
                        work);
    }

    private boolean isWarmingUp(Duration now, Duration since) {
        return window != null
                && rampDuration != null
                && loadFactor != null
                && since != null
                && now.minus(since).compareTo(rampDuration.plus(window)) < 0;
    }

    private boolean isWithinBudget(
            Duration now,
            Duration warmingUpSince,
            double sentSeconds,
            NodeWarmUp warmUp,
            Duration work) {
        if (mayHaveSentBeforeRouterStart(now, warmingUpSince)) {
            return false;
        }
        double budgetSeconds = routerBudgetSeconds(now, warmingUpSince);
        return sentSeconds + seconds(work) <= budgetSeconds
                || (routerCount >= SAMPLING_MIN_ROUTERS
                        && sentSeconds + warmUp.samplingThreshold * seconds(work) <= budgetSeconds);
    }

    /**
     * Returns whether an earlier run of this router may have sent the node work that still counts:
     * the node started before this router did, and the router has not run for a whole window yet.
     */
    private boolean mayHaveSentBeforeRouterStart(Duration now, Duration warmingUpSince) {
        return warmingUpSince.isNegative() && now.compareTo(countedWindow()) < 0;
    }

    /**
     * Returns the work that this router may send to the node within a window, in seconds: the
     * node's budget divided by the number of routers.
     */
    private double routerBudgetSeconds(Duration now, Duration warmingUpSince) {
        double rampFraction =
                Math.max(
                        0,
                        seconds(now.minus(warmingUpSince).minus(window)) / seconds(rampDuration));
        double rate =
                loadFactor
                        * (initialCapacityShare * (1 - rampFraction) + rampFraction)
                        * WARM_WORK_RATE;
        return BUDGET_UTILIZATION * rate * seconds(window) / routerCount;
    }
}
