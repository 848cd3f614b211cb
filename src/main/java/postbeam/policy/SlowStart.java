package postbeam.policy;

import static postbeam.model.Durations.seconds;

import java.time.Duration;
import postbeam.model.DataNode;
import postbeam.model.ShardRequest;

/**
 * This router's own share of what a node that is warming up may be sent, in any window of the rule.
 * Among many routers it is less than one request: each rounds it by its sampling threshold, so that
 * what all can send, whatever comes, is under the budget on the mean, with its root as the spread.
 */
public final class SlowStart {
    /** Seconds of work a second that a warm node does at least: two cores'; fewer are rare. */
    private static final double WARM_WORK_RATE = 2.0;

    /** Share of a cold node's budget that is used: the rest is for what travels meanwhile. */
    private static final double SAFETY = 0.9;

    /** Routers from which even shares are so small that sampling thresholds round them. */
    private static final int SAMPLING_MIN_ROUTERS = 9;

    /** What is counted where no window is stated, and nothing of it is read. */
    private static final Duration UNUSED_WINDOW = Duration.ofSeconds(4);

    private final double initialCapacityShare;
    private final Duration rampDuration;
    private final Double loadFactor;
    private final Duration window;
    private final int routerCount;
    private final Duration callOverhead;
    private final Duration connectTimeout;

    /**
     * Creates the rule; each parameter is null where not stated.
     *
     * @param initialCapacityShare share of its capacity that a node has when it starts
     * @param rampDuration time over which its capacity rises to the whole
     * @param loadFactor times its capacity that it may be sent within a window; null for no limit
     * @param window the span of time within which that is counted; null for no limit
     * @param routerCount routers among which that is divided
     * @param callOverhead work that each call costs beside its request
     * @param connectTimeout how much later than decided a request may be sent, at most
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

    /** Routers among which budgets are divided. */
    int routerCount() {
        return routerCount;
    }

    /** What is remembered of a node that is listed for the first time. */
    NodeWarmUp newNode(double samplingThreshold) {
        return new NodeWarmUp(samplingThreshold, window == null ? UNUSED_WINDOW : countedWindow());
    }

    /** A window as this router counts it: what waits for a connection is sent so much later. */
    private Duration countedWindow() {
        return window.plus(connectTimeout);
    }

    /** Work that the request brings a node; the baseline is its latency where no hint came. */
    Duration estimateWork(ShardRequest request, Duration baseline) {
        return request.estimatedWork == null ? baseline : request.estimatedWork.plus(callOverhead);
    }

    void onUnreachable(Duration now, DataNode node) {
        NodeState.of(node).warmUp.onUnreachable(now);
    }

    /** The endpoint list tells of the node's start. */
    void onStartKnown(DataNode node, Duration startedAt) {
        NodeState.of(node).warmUp.onStartKnown(startedAt);
    }

    /** From when on the node may have been cold; null where not known, or long ago. */
    Duration coldSince(DataNode node) {
        return NodeState.of(node).warmUp.coldSince(node.startedAt());
    }

    /**
     * Work was sent to the node for a shard that it acquired then; null where that is not known.
     */
    void recordSent(Duration now, DataNode node, Duration acquiredAt, Duration work) {
        NodeWarmUp warmUp = NodeState.of(node).warmUp;
        warmUp.recordWork(now, work);
        if (acquiredAt != null) {
            warmUp.recordWorkOnAcquiredShard(now, work);
        }
    }

    /**
     * Whether the node may be sent this work. Capacity is taken as it was when the window began, so
     * each window is within its budget. Guards too against a rush on shards that a node acquired
     * just now, whose data is not warm there: for them it counts as cold, with all that it lately
     * got for such shards. What else it holds is not held back.
     */
    boolean allows(Duration now, DataNode node, Duration acquiredAt, Duration work) {
        NodeWarmUp warmUp = NodeState.of(node).warmUp;
        Duration coldSince = coldSince(node);
        if (isCold(now, coldSince)
                && !isWithinBudget(now, coldSince, warmUp.recentWork(now), warmUp, work)) {
            return false;
        }
        return !isCold(now, acquiredAt)
                || isWithinBudget(
                        now, acquiredAt, warmUp.recentWorkOnAcquiredShards(now), warmUp, work);
    }

    private boolean isCold(Duration now, Duration since) {
        return window != null
                && rampDuration != null
                && loadFactor != null
                && since != null
                && now.minus(since).compareTo(rampDuration.plus(window)) < 0;
    }

    private boolean isWithinBudget(
            Duration now, Duration coldSince, double sent, NodeWarmUp warmUp, Duration work) {
        if (hasForgotten(now, coldSince)) {
            return false;
        }
        double share = shareOfBudget(now, coldSince);
        return sent + seconds(work) <= share
                || (routerCount >= SAMPLING_MIN_ROUTERS
                        && sent + warmUp.samplingThreshold * seconds(work) <= share);
    }

    /** Whether this router started later than the node, and what it sent before may still count. */
    private boolean hasForgotten(Duration now, Duration coldSince) {
        return coldSince.isNegative() && now.compareTo(countedWindow()) < 0;
    }

    /**
     * This router's even share of what the node may be sent within a window, in seconds of work.
     */
    private double shareOfBudget(Duration now, Duration coldSince) {
        double risen =
                Math.max(0, seconds(now.minus(coldSince).minus(window)) / seconds(rampDuration));
        double rate = loadFactor * (initialCapacityShare * (1 - risen) + risen) * WARM_WORK_RATE;
        return SAFETY * rate * seconds(window) / routerCount;
    }
}
