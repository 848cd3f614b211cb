package postbeam.migration;

import postbeam.slices.LayoutChange;

/**
 * The transfer of one of a member's slices from one node to another.
 *
 * @param slice the slice's number in the layout
 * @param source the node that gives the slice up
 * @param target the node that takes the slice over
 */
public record SliceTransfer(int slice, String source, String target) {
    /** The layout change that hands the slice to the target. */
    public LayoutChange.Transfer forwardChange() {
        return new LayoutChange.Transfer(slice, source, target);
    }

    /** The layout change that hands the slice back to the source. */
    public LayoutChange.Transfer reverseChange() {
        return new LayoutChange.Transfer(slice, target, source);
    }

    boolean isForward(LayoutChange change) {
        return change.equals(forwardChange());
    }

    /** Whether the change is this transfer in either direction. */
    boolean matches(LayoutChange change) {
        return isForward(change) || change.equals(reverseChange());
    }
}
