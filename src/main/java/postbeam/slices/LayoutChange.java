package postbeam.slices;

import java.util.List;

/** A change of a layout: split, merge or transfer. {@code toString} is the text for operators. */
public sealed interface LayoutChange {
    /** The numbers of the slices that the change replaces or transfers. */
    List<Integer> slices();

    /** The number of slices that the change creates. */
    int newSliceCount();

    /**
     * Splits a slice.
     *
     * @param cuts the first keys of the second and later new slices, ascending and strictly inside
     *     the slice
     */
    record Split(int slice, List<Long> cuts) implements LayoutChange {
        /** Creates a split; the cuts are checked against a layout when it is applied. */
        public Split {
            cuts = List.copyOf(cuts);
        }

        @Override
        public List<Integer> slices() {
            return List.of(slice);
        }

        @Override
        public int newSliceCount() {
            return cuts.size() + 1;
        }

        @Override
        public String toString() {
            return "split " + slice + " at " + cuts;
        }
    }

    /**
     * Merges adjacent slices that are held by the same nodes.
     *
     * @param slices the numbers of the slices, in key order
     */
    record Merge(List<Integer> slices) implements LayoutChange {
        /** Creates a merge; the slices are checked against a layout when it is applied. */
        public Merge {
            slices = List.copyOf(slices);
        }

        @Override
        public int newSliceCount() {
            return 1;
        }

        @Override
        public String toString() {
            return "merge " + slices;
        }
    }

    /**
     * Replaces, adds or removes a holder of a slice.
     *
     * @param from the holder to remove; null if a holder is only added
     * @param to the node to add; null if a holder is only removed
     * @param fromIsDead whether an operator states that the holder to remove is dead, so that it
     *     need not be fenced while it is not listed
     */
    record Transfer(int slice, String from, String to, boolean fromIsDead) implements LayoutChange {
        /**
         * Creates a transfer.
         *
         * @throws IllegalArgumentException if both nodes are null, or the holder to remove is
         *     stated to be dead but not named
         */
        public Transfer {
            if (from == null && to == null) {
                throw new IllegalArgumentException(
                        "a move of slice " + slice + " needs a node to move from or to, got none");
            }
            if (from == null && fromIsDead) {
                throw new IllegalArgumentException(
                        "a move of slice " + slice + " off a dead node must name that node");
            }
        }

        /** Creates a transfer whose holder to remove, if any, must be fenced. */
        public Transfer(int slice, String from, String to) {
            this(slice, from, to, false);
        }

        @Override
        public List<Integer> slices() {
            return List.of(slice);
        }

        @Override
        public int newSliceCount() {
            return 0;
        }

        @Override
        public String toString() {
            return "move "
                    + slice
                    + " from "
                    + (from == null ? "-" : from)
                    + " to "
                    + (to == null ? "-" : to);
        }
    }
}
