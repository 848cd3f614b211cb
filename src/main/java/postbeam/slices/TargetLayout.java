package postbeam.slices;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import postbeam.model.Readiness;

/** Where a layout is to get: ranges that cover the key space, and who is to hold each. */
public record TargetLayout(List<DesiredSlice> slices) {
    public record DesiredSlice(KeyRange keys, List<String> nodes) {
        public DesiredSlice {
            nodes = List.copyOf(nodes);
        }
    }

    /** What is known of a data node. */
    public record NodeInfo(String zone, Readiness readiness) {}

    public TargetLayout {
        List<DesiredSlice> sorted = new ArrayList<>(slices);
        sorted.sort((a, b) -> a.keys().compareTo(b.keys()));
        slices = List.copyOf(sorted);
    }

    /** What is wrong with it, a line each; empty where it can be aimed at. */
    public List<String> problems(Map<String, NodeInfo> nodes, int holders, int zones) {
        List<String> problems = new ArrayList<>();
        Optional<String> coverage =
                Coverage.firstProblem(slices.stream().map(DesiredSlice::keys).toList());
        coverage.ifPresent(problems::add);
        for (DesiredSlice wanted : slices) {
            problems.addAll(
                    problems("keys " + wanted.keys(), wanted.nodes(), nodes, holders, zones));
        }
        return problems;
    }

    /** What is wrong with these nodes as the holders of something. */
    static List<String> problems(
            String of, List<String> held, Map<String, NodeInfo> nodes, int holders, int zones) {
        List<String> problems = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        Set<String> inZones = new HashSet<>();
        for (String name : held) {
            NodeInfo node = nodes.get(name);
            if (node == null || node.readiness() == Readiness.REMOVED) {
                problems.add(of + ": there is no node " + name);
            } else {
                inZones.add(node.zone());
            }
            if (!seen.add(name)) {
                problems.add(of + ": node " + name + " stands there twice");
            }
        }
        if (seen.size() < holders) {
            problems.add(of + ": " + seen.size() + " holders, at least " + holders + " are needed");
        }
        if (problems.isEmpty() && inZones.size() < zones) {
            problems.add(
                    of
                            + ": holders in "
                            + inZones.size()
                            + " zones, at least "
                            + zones
                            + " are needed");
        }
        return problems;
    }
}
