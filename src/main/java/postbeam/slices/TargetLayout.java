package postbeam.slices;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import postbeam.model.Readiness;

/**
 * The desired state of a layout: ranges that cover the key space, and the nodes to hold each.
 *
 * @param slices the desired slices, in key order
 */
public record TargetLayout(List<DesiredSlice> slices) {
    /**
     * A desired slice.
     *
     * @param nodes the names of its holders
     */
    public record DesiredSlice(KeyRange keys, List<String> nodes) {
        /** Creates a desired slice with a copy of the list. */
        public DesiredSlice {
            nodes = List.copyOf(nodes);
        }
    }

    /** The last known state of a data node. */
    public record NodeInfo(String zone, Readiness readiness) {}

    /** Creates a target; the slices may come in any order. */
    public TargetLayout {
        List<DesiredSlice> sorted = new ArrayList<>(slices);
        sorted.sort(Comparator.comparing(DesiredSlice::keys));
        slices = List.copyOf(sorted);
    }

    /**
     * The problems of the target, one line each; empty if a layout can be changed to match it.
     *
     * @param nodes the data nodes by name
     * @param minHolders minimum number of holders of a slice
     * @param minZones minimum number of zones that the holders of a slice are in
     */
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
                problems.add(prefix + "node " + name + " is listed twice");
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
