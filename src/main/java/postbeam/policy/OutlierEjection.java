package postbeam.policy;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import postbeam.model.DataNode;
import postbeam.model.Readiness;

/**
 * The nodes that are ejected for a while, and their way back: a health probe first, which costs
 * next to nothing beside a lost request, then one request at a time until one is answered, since a
 * node that serves nothing may answer probes.
 */
final class OutlierEjection {
    private final PolicyActions actions;
    private final AttemptLimits limits;
    private final Set<DataNode> ejected = new LinkedHashSet<>();

    OutlierEjection(PolicyActions actions, AttemptLimits limits) {
        this.actions = actions;
        this.limits = limits;
    }

    /** Ejects the node for a while, longer each time; failures in that while add nothing. */
    void eject(Duration now, DataNode node) {
        if (NodeState.of(node).health.eject(now)) {
            ejected.add(node);
        }
    }

    /** Whether the node is ejected and not reinstated yet. */
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

    /** Probes, or reinstates, nodes whose ejection is over. */
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
