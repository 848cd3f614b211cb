package postbeam.policy;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import postbeam.model.DataNode;
import postbeam.model.Readiness;

/**
 * Ejects data nodes and reinstates them. After its ejection, a node gets a health probe, as a lost
 * probe costs less than a lost request. It then gets one request at a time until one is answered,
 * as a node that serves no requests may still answer probes.
 */
final class OutlierEjection {
    private final PolicyActions actions;
    private final AttemptLimits limits;
    private final Set<DataNode> ejected = new LinkedHashSet<>();

    OutlierEjection(PolicyActions actions, AttemptLimits limits) {
        this.actions = actions;
        this.limits = limits;
    }

    /** Ejects the node. Failures during an ejection have no effect. */
    void eject(Duration now, DataNode node) {
        if (NodeState.of(node).health.eject(now)) {
            ejected.add(node);
        }
    }

    /** Returns whether the node is ejected and not yet reinstated. */
    boolean isEjected(DataNode node) {
        return NodeState.of(node).health.isEjected();
    }

    void onProbeResult(Duration now, DataNode node, boolean healthy) {
        NodeHealth health = NodeState.of(node).health;
        health.probeEnded();
        if (healthy) {
            health.reinstate();
        } else {
            eject(now, node);
        }
    }

    /** Probes the nodes whose ejection is over, or reinstates them if probes are not allowed. */
    void review(Duration now) {
        for (DataNode node : List.copyOf(ejected)) {
            NodeHealth health = NodeState.of(node).health;
            if (!health.isEjected() || node.readiness() == Readiness.REMOVED) {
                ejected.remove(node);
            } else if (!health.isWithinEjection(now) && !health.isProbeInFlight()) {
                probeOrReinstate(node, health);
            }
        }
    }

    private void probeOrReinstate(DataNode node, NodeHealth health) {
        if (limits.probesAllowed() && node.readiness() == Readiness.READY) {
            health.probeSent();
            actions.probe(node);
        } else {
            health.reinstate();
        }
    }
}
