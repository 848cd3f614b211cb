package postbeam.slices;

/**
 * What the coordinator has done, in this order; what follows a record waits until that is on disk.
 */
public sealed interface Act {
    record Write(Logged record) implements Act {}

    /**
     * Tells a node what to do with a slice; the version counts for {@link Order#SERVE}, the source
     * for COPY.
     */
    record Tell(
            long move,
            String node,
            Order order,
            int slice,
            KeyRange keys,
            long version,
            String source)
            implements Act {}

    /** From now on this layout is told to all. */
    record Publish(Layout layout) implements Act {}
}
