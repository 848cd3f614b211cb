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

/** Which nodes are to hold a slice: spread over zones first, then evenly over nodes. */
public final class SlicePlacement {
    private SlicePlacement() {}

    /**
     * Nodes that want work, the zones by turns, so that neighbours in the list are in different
     * ones where they can be.
     */
    public static List<String> spreadOverZones(Map<String, TargetLayout.NodeInfo> nodes) {
        Map<String, List<String>> zones = new LinkedHashMap<>();
        nodes.forEach(
                (name, known) -> {
                    if (known.readiness() == Readiness.READY) {
                        zones.computeIfAbsent(known.zone(), zone -> new ArrayList<>()).add(name);
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
     * Moves that bring slices off these nodes, which are gone for good as far as anyone can tell:
     * each to a node that wants work, in a zone that holds it not yet where there is such a one, to
     * whom holds fewest before others. Slices with the fewest holders left come first; one without
     * any holder left is not among them, since nobody has its data.
     */
    public static List<LayoutChange> repairs(
            Layout layout,
            Map<String, TargetLayout.NodeInfo> nodes,
            Set<String> gone,
            Set<Integer> busy,
            int most) {
        Map<String, Integer> holds = new HashMap<>();
        layout.slices()
                .forEach(
                        slice -> slice.nodes().forEach(node -> holds.merge(node, 1, Integer::sum)));
        List<Slice> hurt = new ArrayList<>();
        for (Slice slice : layout.slices()) {
            if (!busy.contains(slice.number())
                    && slice.nodes().stream().anyMatch(gone::contains)
                    && listedHolders(slice, nodes).size() > 0) {
                hurt.add(slice);
            }
        }
        hurt.sort(Comparator.comparingInt(slice -> listedHolders(slice, nodes).size()));
        List<LayoutChange> repairs = new ArrayList<>();
        for (Slice slice : hurt) {
            if (repairs.size() >= most) {
                break;
            }
            String off = slice.nodes().stream().filter(gone::contains).findFirst().orElseThrow();
            bestTarget(slice, nodes, holds)
                    .ifPresent(
                            onto -> {
                                holds.merge(onto, 1, Integer::sum);
                                repairs.add(new LayoutChange.Transfer(slice.number(), off, onto));
                            });
        }
        return repairs;
    }

    /** Its holders that are listed. */
    private static List<String> listedHolders(
            Slice slice, Map<String, TargetLayout.NodeInfo> nodes) {
        return slice.nodes().stream()
                .filter(
                        node ->
                                nodes.containsKey(node)
                                        && nodes.get(node).readiness() != Readiness.REMOVED)
                .toList();
    }

    private static Optional<String> bestTarget(
            Slice slice, Map<String, TargetLayout.NodeInfo> nodes, Map<String, Integer> holds) {
        Set<String> zones = new HashSet<>();
        listedHolders(slice, nodes).forEach(node -> zones.add(nodes.get(node).zone()));
        return nodes.entrySet().stream()
                .filter(
                        entry ->
                                entry.getValue().readiness() == Readiness.READY
                                        && !slice.heldBy(entry.getKey()))
                .min(
                        Comparator.<Map.Entry<String, TargetLayout.NodeInfo>>comparingInt(
                                        entry -> zones.contains(entry.getValue().zone()) ? 1 : 0)
                                .thenComparingInt(entry -> holds.getOrDefault(entry.getKey(), 0))
                                .thenComparing(Map.Entry::getKey))
                .map(Map.Entry::getKey);
    }
}
