package postbeam.migration;

import java.util.List;
import postbeam.slices.CoordinatorAction;
import postbeam.slices.KeyRange;

/** What is to be done, in this order; what follows a record waits until that is on disk. */
public sealed interface MigrationAction {
    record Delegated(CoordinatorAction action) implements MigrationAction {}

    /** Asks a node what it has; the number comes back with the answer. */
    record RequestDigests(long requestId, String node, int slice, List<KeyRange> ranges)
            implements MigrationAction {
        public RequestDigests {
            ranges = List.copyOf(ranges);
        }
    }
}
