package postbeam.slices;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import postbeam.model.Readiness;

/** What discovery has said of each data node, in the order in which they were listed first. */
final class NodeStates {
    private final Map<String, TargetLayout.NodeInfo> nodes = new LinkedHashMap<>();

    /**
     * Takes an update.
     *
     * @param restarted nodes that have started anew since the last update
     * @return the nodes that have come, come back or restarted
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

    /** All that is known, by name. */
    Map<String, TargetLayout.NodeInfo> all() {
        return nodes;
    }

    /** Empty for a node that was never listed. */
    Optional<TargetLayout.NodeInfo> find(String node) {
        return Optional.ofNullable(nodes.get(node));
    }

    boolean isReady(String node) {
        TargetLayout.NodeInfo info = nodes.get(node);
        return info != null && info.readiness() == Readiness.READY;
    }

    /** Whether the node was listed once and is no more; one that was never listed is waited for. */
    boolean isGone(String node) {
        TargetLayout.NodeInfo info = nodes.get(node);
        return info != null && info.readiness() == Readiness.REMOVED;
    }

    /** The nodes that were listed once and are no more. */
    Set<String> gone() {
        Set<String> gone = new LinkedHashSet<>();
        nodes.keySet().stream().filter(this::isGone).forEach(gone::add);
        return gone;
    }

    /** Empty for a node that was never listed. */
    String zone(String node) {
        TargetLayout.NodeInfo info = nodes.get(node);
        return info == null ? "" : info.zone();
    }
}
