package postbeam.slices;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * What one call of the {@link Coordinator} decides, in order. A record is applied to the state as
 * it is decided.
 */
final class ActionList {
    private final MoveJournalState state;
    private final Duration now;
    private final List<CoordinatorAction> actions = new ArrayList<>();

    ActionList(MoveJournalState state, Duration now) {
        this.state = state;
        this.now = now;
    }

    /** The time of the call, since 1970. */
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

    /** Publishes the layout that is in force now. */
    void publishLayout() {
        actions.add(new CoordinatorAction.PublishLayout(state.layout()));
    }

    List<CoordinatorAction> toList() {
        return actions;
    }
}
