package postbeam.slices;

/**
 * What the coordinator has done, in this order; what follows a record waits until that is on disk.
 */
public sealed interface CoordinatorAction {
    record AppendRecord(JournalRecord record) implements CoordinatorAction {}

    /**
     * Tells a node what to do with a slice; the version counts for {@link HandoffCommand#SERVE},
     * the source for COPY.
     */
    record SendCommand(
            long move,
            String node,
            HandoffCommand command,
            int slice,
            KeyRange keys,
            long version,
            String source)
            implements CoordinatorAction {}

    /** From now on this layout is told to all. */
    record PublishLayout(Layout layout) implements CoordinatorAction {}
}
