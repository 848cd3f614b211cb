package postbeam.policy;

import java.time.Duration;
import java.util.Random;
import postbeam.model.Cluster;
import postbeam.model.DataNode;
import postbeam.model.Readiness;

/**
 * Applies updates of the endpoint list to the cluster and to the modules that keep state per data
 * node.
 */
final class NodeMembership {
    private final Random random;
    private final Cluster cluster;
    private final SlowStart slowStart;
    private final LatencyEstimator latencies;
    private final OutlierDetector outliers;
    private final CanaryPolicy canaries;

    NodeMembership(
            Random random,
            Cluster cluster,
            SlowStart slowStart,
            LatencyEstimator latencies,
            OutlierDetector outliers,
            CanaryPolicy canaries) {
        this.random = random;
        this.cluster = cluster;
        this.slowStart = slowStart;
        this.latencies = latencies;
        this.outliers = outliers;
        this.canaries = canaries;
    }

    void onNodeUpdate(Duration now, DataNode node, Readiness readiness, Duration startedAt) {
        boolean isNew = node.policyState() == null;
        if (isNew) {
            node.attachPolicyState(
                    new NodeState(
                            outliers.newNode(node.zone), slowStart.newNode(random.nextDouble())));
        }
        updateCluster(node, readiness, isNew);
        boolean restarted = startedAt != null && !startedAt.equals(node.startedAt());
        if (!isNew
                && node.readiness() == Readiness.READY
                && (readiness == Readiness.REMOVED || restarted)) {
            canaries.onNodeCrash(now);
        }
        if (restarted) {
            latencies.onRestart(node);
            outliers.onRestart(node);
        }
        node.update(readiness, startedAt);
        if (startedAt != null) {
            slowStart.onStartKnown(node, startedAt);
        }
    }

    private void updateCluster(DataNode node, Readiness readiness, boolean isNew) {
        if (readiness == Readiness.REMOVED) {
            cluster.remove(node);
            latencies.onRemoved(node);
        } else if (isNew || node.readiness() == Readiness.REMOVED) {
            cluster.add(node);
        }
    }
}
