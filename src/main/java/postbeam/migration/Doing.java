package postbeam.migration;

import java.util.List;
import postbeam.slices.Act;
import postbeam.slices.KeyRange;

/** What is to be done, in this order; what follows a record waits until that is on disk. */
public sealed interface Doing {
    record Of(Act act) implements Doing {}

    /** Asks a node what it has; the number comes back with the answer. */
    record Ask(long number, String node, int slice, List<KeyRange> ranges) implements Doing {
        public Ask {
            ranges = List.copyOf(ranges);
        }
    }
}
