package postbeam.slices;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Which changes bring a layout towards a target. It is asked again after each that is done, so it
 * needs no memory, and a move that was abandoned is planned again. First slices are cut where the
 * target has an edge, then pieces go to the nodes that are to hold them, last those that belong
 * together are joined: copies are of pieces no larger than needed, and joined is only what the same
 * nodes hold.
 */
public final class Planner {
    private Planner() {}

    /**
     * Changes that can be made now, each about slices of its own and none of those that are busy.
     */
    public static List<LayoutChange> nextChanges(
            Layout layout, TargetLayout targetLayout, Set<Integer> busy) {
        List<LayoutChange> changes = new ArrayList<>();
        int at = 0;
        List<TargetLayout.DesiredSlice> wanted = targetLayout.slices();
        List<Slice> ready = new ArrayList<>();
        for (Slice slice : layout.slices()) {
            while (wanted.get(at).keys().to() <= slice.keys().from()) {
                at++;
                ready.clear();
            }
            TargetLayout.DesiredSlice here = wanted.get(at);
            if (busy.contains(slice.number())) {
                continue;
            }
            if (slice.keys().to() > here.keys().to()) {
                changes.add(new LayoutChange.Split(slice.number(), splitKeys(slice, wanted, at)));
                continue;
            }
            LayoutChange step = transferTowards(slice, here.nodes());
            if (step != null) {
                changes.add(step);
                continue;
            }
            ready.add(slice);
            if (ready.size() > 1
                    && ready.get(0).keys().from() == here.keys().from()
                    && slice.keys().to() == here.keys().to()
                    && contiguous(ready)) {
                changes.add(new LayoutChange.Merge(ready.stream().map(Slice::number).toList()));
            }
        }
        return changes;
    }

    private static List<Long> splitKeys(
            Slice slice, List<TargetLayout.DesiredSlice> wanted, int at) {
        List<Long> cuts = new ArrayList<>();
        for (int i = at; i < wanted.size() && wanted.get(i).keys().to() < slice.keys().to(); i++) {
            cuts.add(wanted.get(i).keys().to());
        }
        return cuts;
    }

    /** Null where these nodes hold it. New holders come before old ones are let go. */
    private static LayoutChange transferTowards(Slice slice, List<String> nodes) {
        String missing =
                nodes.stream().filter(node -> !slice.heldBy(node)).findFirst().orElse(null);
        String extra =
                slice.nodes().stream()
                        .filter(node -> !nodes.contains(node))
                        .findFirst()
                        .orElse(null);
        return missing == null && extra == null
                ? null
                : new LayoutChange.Transfer(slice.number(), extra, missing);
    }

    private static boolean contiguous(List<Slice> slices) {
        for (int i = 1; i < slices.size(); i++) {
            if (slices.get(i - 1).keys().to() != slices.get(i).keys().from()) {
                return false;
            }
        }
        return true;
    }
}
