package postbeam.slices;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Which changes bring a layout towards a target. It is called again after each change, so it needs
 * no memory, and a move that was abandoned is planned again. Slices are first split where the
 * target has a boundary, then transferred to the nodes that are to hold them, and merged last:
 * copies are of slices no larger than needed, and only what the same nodes hold is merged.
 */
public final class Planner {
    private Planner() {}

    /** Changes that can be made now, each of slices of its own and none of a busy slice. */
    public static List<LayoutChange> nextChanges(
            Layout layout, TargetLayout target, Set<Integer> busy) {
        List<LayoutChange> changes = new ArrayList<>();
        List<TargetLayout.DesiredSlice> desired = target.slices();
        int desiredIndex = 0;
        List<Slice> slicesInPlace = new ArrayList<>();
        for (Slice slice : layout.slices()) {
            while (desired.get(desiredIndex).keys().to() <= slice.keys().from()) {
                desiredIndex++;
                slicesInPlace.clear();
            }
            if (busy.contains(slice.number())) {
                continue;
            }
            TargetLayout.DesiredSlice desiredSlice = desired.get(desiredIndex);
            if (slice.keys().to() > desiredSlice.keys().to()) {
                changes.add(
                        new LayoutChange.Split(
                                slice.number(), boundariesWithin(slice, desired, desiredIndex)));
                continue;
            }
            Optional<LayoutChange> transfer = transferTowards(slice, desiredSlice.nodes());
            if (transfer.isPresent()) {
                changes.add(transfer.get());
                continue;
            }
            slicesInPlace.add(slice);
            if (formDesiredSlice(desiredSlice, slicesInPlace)) {
                changes.add(
                        new LayoutChange.Merge(
                                slicesInPlace.stream().map(Slice::number).toList()));
            }
        }
        return changes;
    }

    /**
     * The boundaries of the target strictly inside a slice that begins in its slice number {@code
     * first}.
     */
    private static List<Long> boundariesWithin(
            Slice slice, List<TargetLayout.DesiredSlice> desired, int first) {
        List<Long> boundaries = new ArrayList<>();
        for (int i = first;
                i < desired.size() && desired.get(i).keys().to() < slice.keys().to();
                i++) {
            boundaries.add(desired.get(i).keys().to());
        }
        return boundaries;
    }

    /** Empty where these nodes hold the slice. New holders come before old ones are let go. */
    private static Optional<LayoutChange> transferTowards(Slice slice, List<String> nodes) {
        String missing =
                nodes.stream().filter(node -> !slice.heldBy(node)).findFirst().orElse(null);
        String extra =
                slice.nodes().stream()
                        .filter(node -> !nodes.contains(node))
                        .findFirst()
                        .orElse(null);
        return missing == null && extra == null
                ? Optional.empty()
                : Optional.of(new LayoutChange.Transfer(slice.number(), extra, missing));
    }

    /** Whether two or more slices together are the desired one. */
    private static boolean formDesiredSlice(TargetLayout.DesiredSlice desired, List<Slice> slices) {
        int last = slices.size() - 1;
        return last > 0
                && slices.get(0).keys().from() == desired.keys().from()
                && slices.get(last).keys().to() == desired.keys().to()
                && areContiguous(slices);
    }

    private static boolean areContiguous(List<Slice> slices) {
        for (int i = 1; i < slices.size(); i++) {
            if (slices.get(i - 1).keys().to() != slices.get(i).keys().from()) {
                return false;
            }
        }
        return true;
    }
}
