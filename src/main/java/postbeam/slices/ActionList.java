package postbeam.slices;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * The actions that one call of the {@link Coordinator} decides on, in the order in which they are
 * to be executed. A journal record is applied to the {@link MoveJournalState} as soon as it is
 * added to this list.
 */
final class ActionList {
    private final MoveJournalState state;
    private final Duration now;
    private final List<CoordinatorAction> actions = new ArrayList<>();

    ActionList(MoveJournalState state, Duration now) {
        this.state = state;
        this.now = now;
    }

    /** The time of the call, as a duration since the Unix epoch. */
    Duration now() {
        return now;
    }

    void append(JournalRecord record) {
        state.apply(record);
        actions.add(new CoordinatorAction.AppendRecord(record));
    }

    void send(CoordinatorAction.SendCommand command) {
        actions.add(command);
    }

    /** Adds the publication of the layout that is now in force. */
    void publishLayout() {
        actions.add(new CoordinatorAction.PublishLayout(state.layout()));
    }

    List<CoordinatorAction> toList() {
        return actions;
    }
}
