package postbeam.slices;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * The actions that one call of the {@link Coordinator} decides on, in the order in which they are
 * to be executed. A journal record is applied to the {@link MoveJournalState} as soon as it is
 * added to this list.
 */
final class ActionList {
    private final MoveJournalState state;
    private final Duration now;
    private final LongSupplier commandNumbers;
    private final List<CoordinatorAction> actions = new ArrayList<>();

    /**
     * Creates an empty list.
     *
     * @param now the time of the call, as a duration since the Unix epoch
     * @param commandNumbers returns a higher number with each call
     */
    ActionList(MoveJournalState state, Duration now, LongSupplier commandNumbers) {
        this.state = state;
        this.now = now;
        this.commandNumbers = commandNumbers;
    }

    /** The time of the call, as a duration since the Unix epoch. */
    Duration now() {
        return now;
    }

    void append(JournalRecord record) {
        state.apply(record);
        actions.add(new CoordinatorAction.AppendRecord(record));
    }

    /** Adds a command and numbers it. */
    void send(CoordinatorAction.SendCommand command) {
        actions.add(command.withNumber(commandNumbers.getAsLong()));
    }

    /** Adds the publication of the layout that is now in force. */
    void publishLayout() {
        actions.add(new CoordinatorAction.PublishLayout(state.layout()));
    }

    List<CoordinatorAction> toList() {
        return actions;
    }
}
