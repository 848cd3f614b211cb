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
     * @param number increases with each command that a coordinator sends, so that a node can reject
     *     a command that arrives after a later one for the same slice; {@link #NO_NUMBER} until the
     *     command is sent
     */
    record SendCommand(
            long move,
            String node,
            HandoffCommand command,
            int slice,
            KeyRange keys,
            long version,
            String source,
            long number)
            implements CoordinatorAction {
        /** The number of a command that was not sent yet. */
        static final long NO_NUMBER = 0;

        /** Creates a command that was not sent yet. */
        public SendCommand(
                long move,
                String node,
                HandoffCommand command,
                int slice,
                KeyRange keys,
                long version,
                String source) {
            this(move, node, command, slice, keys, version, source, NO_NUMBER);
        }

        /** Returns this command with a number. */
        public SendCommand withNumber(long newNumber) {
            return new SendCommand(move, node, command, slice, keys, version, source, newNumber);
        }
    }

    /** Publishes the layout that has come into force. */
    record PublishLayout(Layout layout) implements CoordinatorAction {}
}
