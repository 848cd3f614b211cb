package postbeam.slices;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import postbeam.model.Readiness;

/** The last known state of each data node, in the order in which the nodes were first listed. */
final class NodeStates {
    private final Map<String, TargetLayout.NodeInfo> nodes = new LinkedHashMap<>();

    /**
     * Applies an update of the node list.
     *
     * @param update node states by name; a node that is not in it keeps its last state
     * @param restarted names of the nodes that restarted since the last update
     * @return the names of the nodes that appeared, reappeared or restarted
     */
    List<String> update(Map<String, TargetLayout.NodeInfo> update, List<String> restarted) {
        List<String> arrived = new ArrayList<>();
        update.forEach(
                (name, info) -> {
                    TargetLayout.NodeInfo before = nodes.put(name, info);
                    boolean wasGone = before == null || before.readiness() == Readiness.REMOVED;
                    if (info.readiness() != Readiness.REMOVED
                            && (wasGone || restarted.contains(name))) {
                        arrived.add(name);
                    }
                });
        return arrived;
    }

    boolean isEmpty() {
        return nodes.isEmpty();
    }

    /** All nodes that were ever listed, by name. */
    Map<String, TargetLayout.NodeInfo> all() {
        return nodes;
    }

    /** The state of a node; empty if it was never listed. */
    Optional<TargetLayout.NodeInfo> find(String node) {
        return Optional.ofNullable(nodes.get(node));
    }

    boolean isReady(String node) {
        TargetLayout.NodeInfo info = nodes.get(node);
        return info != null && info.readiness() == Readiness.READY;
    }

    /**
     * Whether the node was listed once and is no longer. False for a node that was never listed,
     * since it is expected to appear.
     */
    boolean isGone(String node) {
        TargetLayout.NodeInfo info = nodes.get(node);
        return info != null && info.readiness() == Readiness.REMOVED;
    }

    /** Whether there is a node list and the node is not on it, whether or not it ever was. */
    boolean isUnlisted(String node) {
        TargetLayout.NodeInfo info = nodes.get(node);
        boolean listed = info != null && info.readiness() != Readiness.REMOVED;
        return !nodes.isEmpty() && !listed;
    }

    /** The names of the nodes that were listed once and are no longer. */
    Set<String> gone() {
        Set<String> gone = new LinkedHashSet<>();
        nodes.keySet().stream().filter(this::isGone).forEach(gone::add);
        return gone;
    }

    /** The zone of a node; an empty string if it was never listed. */
    String zone(String node) {
        TargetLayout.NodeInfo info = nodes.get(node);
        return info == null ? "" : info.zone();
    }
}
