package postbeam.slices;

/**
 * What the coordinator has decided. Actions are carried out in order, each once the records before
 * it are on disk.
 */
public sealed interface CoordinatorAction {
    /** Appends a record to the journal. */
    record AppendRecord(JournalRecord record) implements CoordinatorAction {}

    /**
     * Sends a node what it is to do with a slice.
     *
     * @param move the move's number; 0 where the command belongs to no move
     * @param version for {@link HandoffCommand#SERVE}, the layout version from which on calls are
     *     served
     * @param source for {@link HandoffCommand#COPY}, the node that has the data; null where there
     *     is none
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

    /** Publishes a layout, which is in force from now on. */
    record PublishLayout(Layout layout) implements CoordinatorAction {}
}
