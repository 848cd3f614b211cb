package postbeam.slices;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import postbeam.model.Readiness;

/** Where a layout is to get: ranges that cover the key space, and which nodes are to hold each. */
public record TargetLayout(List<DesiredSlice> slices) {
    /** A slice as it is to be. */
    public record DesiredSlice(KeyRange keys, List<String> nodes) {
        /** A slice and the nodes that are to hold it. */
        public DesiredSlice {
            nodes = List.copyOf(nodes);
        }
    }

    /** What is known of a data node. */
    public record NodeInfo(String zone, Readiness readiness) {}

    /** A target with its slices in the order of their keys. */
    public TargetLayout {
        List<DesiredSlice> sorted = new ArrayList<>(slices);
        sorted.sort(Comparator.comparing(DesiredSlice::keys));
        slices = List.copyOf(sorted);
    }

    /** What is wrong with it, a line each; empty where a layout can be brought there. */
    public List<String> problems(Map<String, NodeInfo> nodes, int minHolders, int minZones) {
        List<String> problems = new ArrayList<>();
        Coverage.firstProblem(slices.stream().map(DesiredSlice::keys).toList())
                .ifPresent(problems::add);
        slices.forEach(
                slice -> problems.addAll(holderProblems(slice, nodes, minHolders, minZones)));
        return problems;
    }

    private static List<String> holderProblems(
            DesiredSlice slice, Map<String, NodeInfo> nodes, int minHolders, int minZones) {
        String prefix = "keys " + slice.keys() + ": ";
        List<String> problems = new ArrayList<>();
        Set<String> holders = new HashSet<>();
        Set<String> zones = new HashSet<>();
        for (String name : slice.nodes()) {
            NodeInfo node = nodes.get(name);
            if (node == null || node.readiness() == Readiness.REMOVED) {
                problems.add(prefix + "there is no node " + name);
            } else {
                zones.add(node.zone());
            }
            if (!holders.add(name)) {
                problems.add(prefix + "node " + name + " stands there twice");
            }
        }
        if (holders.size() < minHolders) {
            problems.add(
                    prefix + holders.size() + " holders, at least " + minHolders + " are needed");
        }
        if (problems.isEmpty() && zones.size() < minZones) {
            problems.add(
                    prefix
                            + "holders in "
                            + zones.size()
                            + " zones, at least "
                            + minZones
                            + " are needed");
        }
        return problems;
    }
}
