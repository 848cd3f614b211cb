package postbeam.policy;

import postbeam.model.DataNode;

/**
 * State that the policy keeps for one data node, attached to its {@link DataNode}. Each part
 * belongs to one module.
 */
final class NodeState {
    /** Maintained by {@link LatencyEstimator}. */
    final NodeLatency latency = new NodeLatency();

    /** Maintained by {@link OutlierDetector} and {@link OutlierEjection}. */
    final NodeHealth health;

    /** Maintained by {@link SlowStart}. */
    final NodeWarmUp warmUp;

    NodeState(NodeHealth health, NodeWarmUp warmUp) {
        this.health = health;
        this.warmUp = warmUp;
    }

    /** Returns the state of a node that has been in the endpoint list; null for other nodes. */
    static NodeState of(DataNode node) {
        return (NodeState) node.policyState();
    }
}
