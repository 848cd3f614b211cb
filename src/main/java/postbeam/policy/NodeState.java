package postbeam.policy;

import postbeam.model.DataNode;

/**
 * The policy's state of one data node, attached to {@link DataNode}; each part belongs to one
 * module.
 */
final class NodeState {
    /** Belongs to {@link LatencyEstimator}. */
    final NodeLatency latency = new NodeLatency();

    /** Belongs to {@link OutlierDetector} and {@link OutlierEjection}. */
    final NodeHealth health;

    /** Belongs to {@link SlowStart}. */
    final NodeWarmUp warmUp;

    NodeState(NodeHealth health, NodeWarmUp warmUp) {
        this.health = health;
        this.warmUp = warmUp;
    }

    /** The state of a node that was listed before. */
    static NodeState of(DataNode node) {
        return (NodeState) node.policyState();
    }
}
