package postbeam.migration;

import java.util.List;
import postbeam.slices.CoordinatorAction;
import postbeam.slices.KeyRange;

/**
 * An action that the caller carries out. Actions are carried out in order, and those that follow a
 * journal record only after the record is on disk.
 */
public sealed interface MigrationAction {
    /** Carries out an action of the coordinator, like those that the coordinator itself returns. */
    record Delegated(CoordinatorAction action) implements MigrationAction {}

    /**
     * Requests digests of a node's replica of a slice.
     *
     * @param requestId identifies the request; the response carries the same id
     * @param ranges key ranges of the slice, for which one digest each is requested
     */
    record RequestDigests(long requestId, String node, int slice, List<KeyRange> ranges)
            implements MigrationAction {
        /** Makes an immutable copy of the ranges. */
        public RequestDigests {
            ranges = List.copyOf(ranges);
        }
    }
}
