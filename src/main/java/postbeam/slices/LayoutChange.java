package postbeam.slices;

import java.util.List;

/** A change of a layout: split, merge or transfer. The text of each is what operators read. */
public sealed interface LayoutChange {
    /** The numbers of the slices that it changes. */
    List<Integer> slices();

    /** How many slices it creates. */
    int newSliceCount();

    /** Cuts a slice at these keys, each strictly inside it, in order. */
    record Split(int slice, List<Long> cuts) implements LayoutChange {
        /** A split of one slice. */
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

    /** Joins neighbours, in order, that the same nodes hold. */
    record Merge(List<Integer> slices) implements LayoutChange {
        /** A merge of neighbours. */
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
     * Hands a slice from one node to another.
     *
     * @param from the node that lets it go; null where a holder is only added
     * @param to the node that takes it; null where a holder only lets it go
     */
    record Transfer(int slice, String from, String to) implements LayoutChange {
        /**
         * A transfer with at least one of both nodes; an IllegalArgumentException where both are
         * null.
         */
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
