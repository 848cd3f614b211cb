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
 * Learns how long shard requests take: for each query class the latency at an idle node (its
 * baseline), for each node the ratio of its latencies to the baseline (its slowdown), and the
 * slowdown of the usual node, beside which single nodes are judged.
 */
final class LatencyEstimator {
    /** How long a node's answer tells anything of it: a few queries' worth. */
    static final Duration MEMORY = Duration.ofSeconds(4);

    /** Weights with which a baseline falls to a faster answer and rises to a slower one. */
    private static final double BASELINE_FALL = 0.2;

    private static final double BASELINE_RISE = 0.01;

    /**
     * Seconds over which a baseline rises at most to a slower answer: a short jam does not count.
     */
    private static final double BASELINE_RISE_SECONDS = 20;

    /** Share of the latency objective that is taken for a baseline before any answer. */
    private static final double BASELINE_GUESS = 0.1;

    /** Least baseline that a latency is divided by, in seconds. */
    private static final double LEAST_BASELINE_SECONDS = 0.001;

    /** Quantile, by slowdown, of the usual node. */
    private static final double USUAL_QUANTILE = 0.5;

    /** The usual node is that of the lower quantile where the other is so many times as slow. */
    private static final double SOUND_QUANTILE = 0.33;

    private static final double SOUND_RATIO = 2;

    private static final class Baseline {
        private Duration latency;
        private Duration updatedAt = Duration.ZERO;
    }

    private final Cluster cluster;
    private final Map<QueryClass, Baseline> baselines = new HashMap<>();

    /** Nodes that have answered, the latest last. */
    private final Set<DataNode> recentlyAnswered = new LinkedHashSet<>();

    private Duration usualSlowdownAt;
    private double usualSlowdown;

    LatencyEstimator(Cluster cluster) {
        this.cluster = cluster;
    }

    /**
     * Latency of the class's shard requests at an idle node, as learnt or, before that, guessed.
     */
    Duration baseline(QueryClass queryClass) {
        Baseline baseline = baselines.get(queryClass);
        return baseline == null
                ? scale(queryClass.latencyObjective, BASELINE_GUESS)
                : baseline.latency;
    }

    boolean hasLearntBaseline(QueryClass queryClass) {
        return baselines.containsKey(queryClass);
    }

    /** Takes this for the class's baseline, as if learnt. */
    void setBaseline(QueryClass queryClass, Duration latency) {
        baselines.computeIfAbsent(queryClass, key -> new Baseline()).latency = latency;
    }

    /** So many times the latency of the class's shard requests at the usual node. */
    Duration usualLatency(Duration now, QueryClass queryClass, double factor) {
        return scale(baseline(queryClass), usualSlowdown(now) * factor);
    }

    /** Slowdown of the usual node among those that answered lately; 1 at least. */
    double usualSlowdown(Duration now) {
        if (!now.equals(usualSlowdownAt)) {
            usualSlowdownAt = now;
            double[] slowdowns = recentSlowdowns(now.minus(MEMORY));
            double usual = Math.max(1, quantile(slowdowns, USUAL_QUANTILE));
            double sound = Math.max(1, quantile(slowdowns, SOUND_QUANTILE));
            usualSlowdown = usual > SOUND_RATIO * sound ? sound : usual;
        }
        return usualSlowdown;
    }

    /** The node's slowdown beside the usual node's; 1 where not known. */
    double relativeSlowdown(Duration now, DataNode node) {
        NodeLatency latency = NodeState.of(node).latency;
        boolean known = latency.slowdown() > 0 && latency.hasAnsweredSince(now.minus(MEMORY));
        return known ? latency.slowdown() / usualSlowdown(now) : 1;
    }

    void onAttemptEnded(Duration now, Attempt attempt, AttemptOutcome outcome, Duration latency) {
        NodeLatency node = NodeState.of(attempt.node).latency;
        QueryClass queryClass = attempt.shardRequest.queryClass;
        boolean success = outcome == AttemptOutcome.SUCCESS;
        if (success) {
            updateBaseline(now, queryClass, latency);
            node.recordAnswer(now, attempt.sentAt);
            moveToRecentlyAnswered(attempt.node);
        }
        double slowdown =
                seconds(latency) / Math.max(LEAST_BASELINE_SECONDS, seconds(baseline(queryClass)));
        if (success || (outcome.isAbandoned() && slowdown > node.slowdown())) {
            node.addSample(slowdown);
        }
    }

    /** The node has restarted: how slow it was says nothing of it now. */
    void onRestart(DataNode node) {
        NodeState.of(node).latency.forgetSlowdown();
    }

    void onRemoved(DataNode node) {
        recentlyAnswered.remove(node);
    }

    /**
     * The first answer of a class may be a slow one, and of a rare class the next comes late: it is
     * divided by what the usual node's slowdown is for other classes.
     */
    private void updateBaseline(Duration now, QueryClass queryClass, Duration latency) {
        Baseline baseline = baselines.get(queryClass);
        if (baseline == null) {
            baseline = new Baseline();
            baseline.latency = scale(latency, 1 / usualSlowdown(now));
            baselines.put(queryClass, baseline);
        }
        Duration known = baseline.latency;
        double weight =
                latency.compareTo(known) < 0
                        ? BASELINE_FALL
                        : Math.min(
                                BASELINE_RISE,
                                seconds(now.minus(baseline.updatedAt)) / BASELINE_RISE_SECONDS);
        baseline.updatedAt = now;
        baseline.latency = known.plus(scale(latency.minus(known), weight));
    }

    private void moveToRecentlyAnswered(DataNode node) {
        if (cluster.contains(node)) {
            recentlyAnswered.remove(node);
            recentlyAnswered.add(node);
        }
    }

    /** Slowdowns of the nodes that answered after this, the least first. */
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

    private static double quantile(double[] sorted, double place) {
        return sorted.length == 0 ? 0 : sorted[(int) (sorted.length * place)];
    }
}
