package postbeam.slices;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import postbeam.model.Readiness;

/** Chooses holders for slices: spread over zones first, then evenly over nodes. */
public final class SlicePlacement {
    private SlicePlacement() {}

    /**
     * The names of the ready nodes, taken from the zones in turn, so that neighbours in the list
     * are in different zones if possible.
     */
    public static List<String> spreadOverZones(Map<String, TargetLayout.NodeInfo> nodes) {
        Map<String, List<String>> zones = new LinkedHashMap<>();
        nodes.forEach(
                (name, info) -> {
                    if (info.readiness() == Readiness.READY) {
                        zones.computeIfAbsent(info.zone(), zone -> new ArrayList<>()).add(name);
                    }
                });
        List<String> spread = new ArrayList<>();
        for (int i = 0; !zones.isEmpty(); i++) {
            for (List<String> zone : zones.values()) {
                if (i < zone.size()) {
                    spread.add(zone.get(i));
                }
            }
            int taken = i + 1;
            zones.values().removeIf(zone -> zone.size() <= taken);
        }
        return spread;
    }

    /**
     * Transfers that replace holders whose nodes are no longer listed, for operators who know that
     * these are dead. Each goes to a ready node, preferably in a zone without a holder of the
     * slice, and among these to the node that holds the fewest slices. Slices with the fewest
     * listed holders come first. A slice without a listed holder is left out, since no node has its
     * data.
     *
     * @param gone names of the nodes that were listed once and are no longer
     * @param busy the slices that moves under way concern; they are left out
     * @param maxRepairs the maximum number of transfers
     */
    static List<LayoutChange> repairs(
            Layout layout,
            Map<String, TargetLayout.NodeInfo> nodes,
            Set<String> gone,
            Set<Integer> busy,
            int maxRepairs) {
        Map<String, Integer> slicesHeld = new HashMap<>();
        layout.slices()
                .forEach(
                        slice ->
                                slice.nodes()
                                        .forEach(node -> slicesHeld.merge(node, 1, Integer::sum)));
        List<LayoutChange> repairs = new ArrayList<>();
        for (Slice slice : repairableSlices(layout, nodes, gone, busy)) {
            if (repairs.size() >= maxRepairs) {
                break;
            }
            String from = slice.nodes().stream().filter(gone::contains).findFirst().orElseThrow();
            bestDestination(slice, nodes, slicesHeld)
                    .ifPresent(
                            to -> {
                                slicesHeld.merge(to, 1, Integer::sum);
                                repairs.add(
                                        new LayoutChange.Transfer(slice.number(), from, to, true));
                            });
        }
        return repairs;
    }

    /**
     * Slices with at least one holder that is no longer listed and one that is listed, those with
     * the fewest listed holders first.
     */
    private static List<Slice> repairableSlices(
            Layout layout,
            Map<String, TargetLayout.NodeInfo> nodes,
            Set<String> gone,
            Set<Integer> busy) {
        List<Slice> repairable = new ArrayList<>();
        for (Slice slice : layout.slices()) {
            if (!busy.contains(slice.number())
                    && slice.nodes().stream().anyMatch(gone::contains)
                    && !listedHolders(slice, nodes).isEmpty()) {
                repairable.add(slice);
            }
        }
        repairable.sort(Comparator.comparingInt(slice -> listedHolders(slice, nodes).size()));
        return repairable;
    }

    private static List<String> listedHolders(
            Slice slice, Map<String, TargetLayout.NodeInfo> nodes) {
        return slice.nodes().stream()
                .filter(
                        node ->
                                nodes.containsKey(node)
                                        && nodes.get(node).readiness() != Readiness.REMOVED)
                .toList();
    }

    private static Optional<String> bestDestination(
            Slice slice,
            Map<String, TargetLayout.NodeInfo> nodes,
            Map<String, Integer> slicesHeld) {
        Set<String> zones = new HashSet<>();
        listedHolders(slice, nodes).forEach(node -> zones.add(nodes.get(node).zone()));
        return nodes.keySet().stream()
                .filter(
                        node ->
                                nodes.get(node).readiness() == Readiness.READY
                                        && !slice.heldBy(node))
                .min(
                        Comparator.<String>comparingInt(
                                        node -> zones.contains(nodes.get(node).zone()) ? 1 : 0)
                                .thenComparingInt(node -> slicesHeld.getOrDefault(node, 0))
                                .thenComparing(Comparator.naturalOrder()));
    }
}
