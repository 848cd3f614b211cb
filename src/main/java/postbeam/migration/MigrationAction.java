package postbeam.migration;

import java.util.List;
import postbeam.slices.CoordinatorAction;
import postbeam.slices.KeyRange;

/**
 * What the caller is to do, in the order given; what follows a journal record waits until that is
 * on disk.
 */
public sealed interface MigrationAction {
    /**
     * An action of the coordinator, which is carried out like those that the coordinator itself
     * returns.
     */
    record Delegated(CoordinatorAction action) implements MigrationAction {}

    /**
     * Asks a node for digests of its replica of a slice.
     *
     * @param requestId comes back with the answer
     */
    record RequestDigests(long requestId, String node, int slice, List<KeyRange> ranges)
            implements MigrationAction {
        /** Copies the ranges. */
        public RequestDigests {
            ranges = List.copyOf(ranges);
        }
    }
}
