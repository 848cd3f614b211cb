package postbeam.slices;

import java.util.List;

/** What can be done to a layout. */
public sealed interface LayoutChange {
    /** The slices it is about. */
    List<Integer> slices();

    /** Cuts a slice at these keys, each strictly inside it, in order. */
    record Split(int slice, List<Long> cuts) implements LayoutChange {
        public Split {
            cuts = List.copyOf(cuts);
        }

        @Override
        public List<Integer> slices() {
            return List.of(slice);
        }

        @Override
        public String toString() {
            return "split " + slice + " at " + cuts;
        }
    }

    /** Joins neighbours, in order, that the same nodes hold. */
    record Merge(List<Integer> slices) implements LayoutChange {
        public Merge {
            slices = List.copyOf(slices);
        }

        @Override
        public String toString() {
            return "merge " + slices;
        }
    }

    /**
     * Hands a slice from one node to another; without the first a holder is added, without the
     * second one let go.
     */
    record Transfer(int slice, String from, String to) implements LayoutChange {
        public Transfer {
            if (from == null && to == null) {
                throw new IllegalArgumentException(
                        "a move of slice " + slice + " from nowhere to nowhere");
            }
        }

        @Override
        public List<Integer> slices() {
            return List.of(slice);
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

    /** How many slices are born by it. */
    default int newSliceCount() {
        return this instanceof Split split
                ? split.cuts().size() + 1
                : this instanceof Merge ? 1 : 0;
    }
}
