package postbeam.slices;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the changes that bring a layout towards a target. It keeps no state and is called again
 * after each change, so a move that was abandoned is planned again. Slices are first split at the
 * boundaries of the target, then transferred to their desired holders, and merged last: so no copy
 * is larger than needed, and merged slices have the same holders.
 */
public final class Planner {
    private Planner() {}

    /**
     * The changes that can be made now. No two concern the same slice.
     *
     * @param busy the slices that moves under way concern; they are left out
     */
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
                        new LayoutChange.Merge(slicesInPlace.stream().map(Slice::number).toList()));
            }
        }
        return changes;
    }

    /**
     * The boundaries between slices of the target that are strictly inside a slice of the layout.
     *
     * @param first index of the desired slice in which the slice begins
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

    /**
     * The next transfer towards the desired holders; empty if the slice has them already. While
     * desired holders are missing, each transfer adds one; a surplus holder is removed in exchange
     * for a missing one, or last.
     */
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

    /** Whether two or more slices together cover exactly the desired slice. */
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
