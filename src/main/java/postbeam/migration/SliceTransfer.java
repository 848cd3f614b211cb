package postbeam.migration;

import postbeam.slices.LayoutChange;

/** One slice of a member, the node that gives it up and the node that takes it. */
public record SliceTransfer(int slice, String source, String target) {
    public LayoutChange.Transfer forwardMove() {
        return new LayoutChange.Transfer(slice, source, target);
    }

    public LayoutChange.Transfer reverseMove() {
        return new LayoutChange.Transfer(slice, target, source);
    }
}
