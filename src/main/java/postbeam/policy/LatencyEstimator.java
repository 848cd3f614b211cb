package postbeam.policy;

import static postbeam.model.Durations.scale;
import static postbeam.model.Durations.seconds;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.model.Cluster;
import postbeam.model.DataNode;
import postbeam.model.QueryClass;

/**
 * Estimates latencies. The baseline of a query class is the latency of a shard request at an idle
 * node. The slowdown of a node is the smoothed ratio of its latencies to the baseline. The typical
 * slowdown is that of a typical node among those that answered recently; single nodes are compared
 * to it.
 */
final class LatencyEstimator {
    /** Time for which the last answer of a node is taken into account. */
    static final Duration RECENT_ANSWER_WINDOW = Duration.ofSeconds(4);

    /** Smoothing factor for an observed latency below the baseline. */
    private static final double BASELINE_FALL_SMOOTHING = 0.2;

    /** Maximum smoothing factor for an observed latency above the baseline. */
    private static final double MAX_BASELINE_RISE_SMOOTHING = 0.01;

    /**
     * Minimum time constant for a rising baseline, in seconds; keeps a short overload from raising
     * it much.
     */
    private static final double MIN_BASELINE_RISE_SECONDS = 20;

    /** Baseline before the first answer, as a fraction of the latency objective. */
    private static final double INITIAL_BASELINE_SHARE = 0.1;

    /** Minimum baseline, in seconds, that a latency is divided by to compute a slowdown. */
    private static final double MIN_BASELINE_SECONDS = 0.001;

    /** Quantile of the nodes' slowdowns that counts as typical. */
    private static final double TYPICAL_QUANTILE = 0.5;

    /**
     * Quantile of the nodes' slowdowns that counts as typical instead if the median is much higher;
     * allows up to two thirds of the nodes to be slow.
     */
    private static final double LOWER_QUANTILE = 0.33;

    /**
     * Ratio of the median slowdown to the lower quantile above which the lower quantile counts as
     * typical.
     */
    private static final double MAX_QUANTILE_RATIO = 2;

    private static final class Baseline {
        private Duration latency;
        private Duration updatedAt = Duration.ZERO;
    }

    private final Cluster cluster;
    private final Map<QueryClass, Baseline> baselines = new HashMap<>();

    /** Nodes that have answered recently, ordered by the time of their last answer. */
    private final Set<DataNode> recentlyAnswered = new LinkedHashSet<>();

    private Duration typicalSlowdownAt;
    private double typicalSlowdown;

    LatencyEstimator(Cluster cluster) {
        this.cluster = cluster;
    }

    /**
     * Returns the latency of the class at an idle node; before the first answer, a fraction of the
     * latency objective.
     */
    Duration baseline(QueryClass queryClass) {
        Baseline baseline = baselines.get(queryClass);
        return baseline == null
                ? scale(queryClass.latencyObjective, INITIAL_BASELINE_SHARE)
                : baseline.latency;
    }

    boolean hasMeasuredBaseline(QueryClass queryClass) {
        return baselines.containsKey(queryClass);
    }

    /** Sets the baseline as if it had been measured. */
    void setBaseline(QueryClass queryClass, Duration latency) {
        baselines.computeIfAbsent(queryClass, key -> new Baseline()).latency = latency;
    }

    /** Returns the latency of the class at a typical node, multiplied by the factor. */
    Duration typicalLatency(Duration now, QueryClass queryClass, double factor) {
        return scale(baseline(queryClass), typicalSlowdown(now) * factor);
    }

    /**
     * Returns the slowdown of a typical node among those that answered recently; at least 1. The
     * value is cached for calls with the same {@code now}.
     */
    double typicalSlowdown(Duration now) {
        if (!now.equals(typicalSlowdownAt)) {
            typicalSlowdownAt = now;
            double[] slowdowns = recentSlowdowns(now.minus(RECENT_ANSWER_WINDOW));
            double median = Math.max(1, quantile(slowdowns, TYPICAL_QUANTILE));
            double lower = Math.max(1, quantile(slowdowns, LOWER_QUANTILE));
            typicalSlowdown = median > MAX_QUANTILE_RATIO * lower ? lower : median;
        }
        return typicalSlowdown;
    }

    /**
     * Returns the slowdown of the node relative to the typical slowdown; 1 if the node has not
     * answered recently.
     */
    double relativeSlowdown(Duration now, DataNode node) {
        NodeLatency latency = NodeState.of(node).latency;
        boolean answeredRecently =
                latency.slowdown() > 0
                        && latency.hasAnsweredAtOrAfter(now.minus(RECENT_ANSWER_WINDOW));
        return answeredRecently ? latency.slowdown() / typicalSlowdown(now) : 1;
    }

    void onAttemptEnded(Duration now, Attempt attempt, AttemptOutcome outcome, Duration latency) {
        NodeLatency nodeLatency = NodeState.of(attempt.node).latency;
        QueryClass queryClass = attempt.shardRequest.queryClass;
        boolean success = outcome == AttemptOutcome.SUCCESS;
        if (success) {
            updateBaseline(now, queryClass, latency);
            nodeLatency.recordAnswer(now, attempt.sentAt);
            moveToRecentlyAnswered(attempt.node);
        }
        double slowdown =
                seconds(latency) / Math.max(MIN_BASELINE_SECONDS, seconds(baseline(queryClass)));
        if (success || (outcome.isAbandoned() && slowdown > nodeLatency.slowdown())) {
            nodeLatency.addSample(slowdown);
        }
    }

    /** Resets the slowdown of a node that has restarted. */
    void onRestart(DataNode node) {
        NodeState.of(node).latency.resetSlowdown();
    }

    void onRemoved(DataNode node) {
        recentlyAnswered.remove(node);
    }

    /**
     * Updates the baseline with an observed latency. The first one of a class is divided by the
     * typical slowdown: it may come from a slow node, and in a class with few queries the next
     * latency may be observed much later.
     */
    private void updateBaseline(Duration now, QueryClass queryClass, Duration latency) {
        Baseline baseline = baselines.get(queryClass);
        if (baseline == null) {
            baseline = new Baseline();
            baseline.latency = scale(latency, 1 / typicalSlowdown(now));
            baselines.put(queryClass, baseline);
        }
        Duration previous = baseline.latency;
        double smoothing =
                latency.compareTo(previous) < 0
                        ? BASELINE_FALL_SMOOTHING
                        : Math.min(
                                MAX_BASELINE_RISE_SMOOTHING,
                                seconds(now.minus(baseline.updatedAt)) / MIN_BASELINE_RISE_SECONDS);
        baseline.updatedAt = now;
        baseline.latency = previous.plus(scale(latency.minus(previous), smoothing));
    }

    private void moveToRecentlyAnswered(DataNode node) {
        if (cluster.contains(node)) {
            recentlyAnswered.remove(node);
            recentlyAnswered.add(node);
        }
    }

    /** Returns the slowdowns of the nodes that answered after this time, in ascending order. */
    private double[] recentSlowdowns(Duration since) {
        while (!recentlyAnswered.isEmpty()) {
            DataNode oldest = recentlyAnswered.iterator().next();
            if (NodeState.of(oldest).latency.hasAnsweredAfter(since)) {
                break;
            }
            recentlyAnswered.remove(oldest);
        }
        return recentlyAnswered.stream()
                .mapToDouble(node -> NodeState.of(node).latency.slowdown())
                .filter(slowdown -> slowdown > 0)
                .sorted()
                .toArray();
    }

    private static double quantile(double[] sorted, double fraction) {
        return sorted.length == 0 ? 0 : sorted[(int) (sorted.length * fraction)];
    }
}
