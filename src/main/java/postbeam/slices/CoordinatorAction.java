package postbeam.slices;

/**
 * A decision of the coordinator. Actions are executed in order, each only after the records before
 * it are on disk.
 */
public sealed interface CoordinatorAction {
    /** Appends a record to the journal. */
    record AppendRecord(JournalRecord record) implements CoordinatorAction {}

    /**
     * Sends a command about a slice to a data node.
     *
     * @param move the move's id; 0 if the command belongs to no move
     * @param version for {@link HandoffCommand#SERVE}, the first layout version whose calls are to
     *     be served
     * @param source for {@link HandoffCommand#COPY}, the node to copy the data from; null if the
     *     command goes to an old holder or belongs to no move
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

    /** Publishes the layout that has come into force. */
    record PublishLayout(Layout layout) implements CoordinatorAction {}
}
