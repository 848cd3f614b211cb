package postbeam.policy;

import static postbeam.model.Durations.seconds;

import java.time.Duration;
import postbeam.model.DataNode;
import postbeam.model.ShardRequest;

/**
 * Limits the work sent to a node that is warming up. The budget per window is divided evenly among
 * all routers. Where that is less than one request per router, each router rounds its share at
 * random by its sampling threshold: the sum over all routers stays within the budget on average,
 * with its square root as the standard deviation.
 */
public final class SlowStart {
    /** Capacity of a warm node, in seconds of work per second: at least two cores. */
    private static final double WARM_WORK_RATE = 2.0;

    /** Fraction of the budget that is used; the rest allows for requests in transit. */
    private static final double BUDGET_UTILIZATION = 0.9;

    /** Number of routers from which shares are rounded at random. */
    private static final int SAMPLING_MIN_ROUTERS = 9;

    /** Window of the counters if there is no limit; they are not read then. */
    private static final Duration UNUSED_WINDOW = Duration.ofSeconds(4);

    private final double initialCapacityShare;
    private final Duration rampDuration;
    private final Double loadFactor;
    private final Duration window;
    private final int routerCount;
    private final Duration callOverhead;
    private final Duration connectTimeout;

    /**
     * Creates the limit; a null parameter is not configured.
     *
     * @param initialCapacityShare share of its capacity that a node has at its start
     * @param rampDuration time until it has all of its capacity
     * @param loadFactor multiple of its capacity that it may be sent per window; null for no limit
     * @param window the window in which work is counted; null for no limit
     * @param routerCount number of routers among which the budget is divided
     * @param callOverhead additional work of each call
     * @param connectTimeout maximum delay between the decision and the sending
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

    /** Number of routers among which budgets are divided. */
    int routerCount() {
        return routerCount;
    }

    /** Creates the state of a node that is listed for the first time. */
    NodeWarmUp newNode(double samplingThreshold) {
        return new NodeWarmUp(samplingThreshold, window == null ? UNUSED_WINDOW : countedWindow());
    }

    /** The window extended by the maximum delay until a request is sent. */
    private Duration countedWindow() {
        return window.plus(connectTimeout);
    }

    /** Estimated work of the request; the baseline if it came without a hint. */
    Duration estimateWork(ShardRequest request, Duration baseline) {
        return request.estimatedWork == null ? baseline : request.estimatedWork.plus(callOverhead);
    }

    void onUnreachable(Duration now, DataNode node) {
        NodeState.of(node).warmUp.onUnreachable(now);
    }

    /** The endpoint list reports the node's start. */
    void onStartKnown(DataNode node, Duration startedAt) {
        NodeState.of(node).warmUp.onStartKnown(startedAt);
    }

    /** Since when the node may be warming up; null if not known or long ago. */
    Duration warmingUpSince(DataNode node) {
        return NodeState.of(node).warmUp.warmingUpSince(node.startedAt());
    }

    /**
     * Records work sent to the node for a shard; {@code acquiredAt} is null if the node has not
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
     * Whether the node may be sent this work. The capacity at the beginning of the window counts,
     * so that each window is within its budget. A shard that the node recently acquired has its own
     * budget, as its data is not cached there yet.
     */
    boolean allows(Duration now, DataNode node, Duration acquiredAt, Duration work) {
        NodeWarmUp warmUp = NodeState.of(node).warmUp;
        Duration warmingUpSince = warmingUpSince(node);
        if (isWarmingUp(now, warmingUpSince)
                && !isWithinBudget(now, warmingUpSince, warmUp.recentWorkSeconds(now), warmUp, work)) {
            return false;
        }
        return !isWarmingUp(now, acquiredAt)
                || isWithinBudget(
                        now, acquiredAt, warmUp.recentWorkSecondsOnAcquiredShards(now), warmUp, work);
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
     * Whether this router started after the node, and work that it sent before may still be in the
     * window.
     */
    private boolean mayHaveSentBeforeRouterStart(Duration now, Duration warmingUpSince) {
        return warmingUpSince.isNegative() && now.compareTo(countedWindow()) < 0;
    }

    /**
     * This router's even share of what the node may be sent within a window, in seconds of work.
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
