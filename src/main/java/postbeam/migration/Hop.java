package postbeam.migration;

import postbeam.slices.Change;

/** One slice of a member, the node that gives it up and the node that takes it. */
public record Hop(int slice, String from, String to) {
    public Change.Move forward() {
        return new Change.Move(slice, from, to);
    }

    public Change.Move back() {
        return new Change.Move(slice, to, from);
    }
}
