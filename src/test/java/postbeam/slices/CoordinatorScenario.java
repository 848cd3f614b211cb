package postbeam.slices;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import postbeam.model.Readiness;

/**
 * Base class of tests with a coordinator over four nodes in two zones. Its records are kept in
 * memory in place of a journal, and all nodes but the unresponsive ones acknowledge its commands.
 */
class CoordinatorScenario {
    private static final MoveLimits LIMITS =
            new MoveLimits(
                    2,
                    1,
                    2,
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(1),
                    2,
                    2);

    final Map<String, TargetLayout.NodeInfo> nodes = new LinkedHashMap<>();
    final List<JournalRecord> records = new ArrayList<>();
    final List<Layout> published = new ArrayList<>();

    /** Nodes that acknowledge no commands. */
    final List<String> unresponsiveNodes = new ArrayList<>();

    final List<CoordinatorAction.SendCommand> sentCommands = new ArrayList<>();
    Coordinator coordinator;
    Duration now = Duration.ofSeconds(100);

    CoordinatorScenario() {
        for (String name : List.of("a", "b", "c", "d")) {
            nodes.put(
                    name,
                    new TargetLayout.NodeInfo("z" + (name.charAt(0) - 'a') % 2, Readiness.READY));
        }
        Layout first = Layout.initial(4, List.of("a", "b", "c", "d"), 2);
        records.add(new JournalRecord.Snapshot(first, 1, 0, 3, List.of(), null, List.of()));
        restart();
    }

    /** Replaces the coordinator by one that is restored from the records alone. */
    void restart() {
        MoveJournalState journalState = new MoveJournalState(100);
        records.forEach(journalState::apply);
        coordinator = new Coordinator(journalState, LIMITS);
        coordinator.onNodesListed(nodes, List.of());
    }

    void setReadiness(String node, Readiness readiness) {
        nodes.put(node, new TargetLayout.NodeInfo(nodes.get(node).zone(), readiness));
        coordinator.onNodesListed(nodes, List.of());
    }

    /**
     * Executes actions.
     *
     * @param recordsBeforeCrash the number of records after which the coordinator crashes and the
     *     remaining actions are lost; negative for no crash
     * @return false if the coordinator crashed
     */
    boolean execute(List<CoordinatorAction> actions, int recordsBeforeCrash) {
        for (CoordinatorAction action : actions) {
            if (action instanceof CoordinatorAction.AppendRecord append) {
                records.add(append.record());
                if (--recordsBeforeCrash == 0) {
                    return false;
                }
            } else if (action instanceof CoordinatorAction.PublishLayout publish) {
                published.add(publish.layout());
            } else if (action instanceof CoordinatorAction.SendCommand command) {
                sentCommands.add(command);
            }
        }
        return true;
    }

    /** Acknowledges all commands sent so far, except those to unresponsive nodes. */
    void acknowledgeCommands() {
        List<CoordinatorAction.SendCommand> commands = List.copyOf(sentCommands);
        sentCommands.clear();
        for (CoordinatorAction.SendCommand command : commands) {
            if (!unresponsiveNodes.contains(command.node())) {
                coordinator.acknowledged(
                        command.move(), command.node(), command.command(), command.slice());
            }
        }
    }

    /** Runs ticks every 100 ms, each followed by the acknowledgements. */
    void runFor(Duration span) {
        Duration end = now.plus(span);
        while (now.compareTo(end) < 0) {
            execute(coordinator.tick(now), -1);
            acknowledgeCommands();
            now = now.plusMillis(100);
        }
    }

    /** Plans a change and returns the id of its move. */
    long plan(LayoutChange change) {
        execute(coordinator.plan(change, now), -1);
        return coordinator.state().nextMove() - 1;
    }

    /**
     * Runs until the move is in a state; the commands of that state are sent, but not acknowledged.
     *
     * @return the move's state, which differs if 200 ticks were not enough; null if it is finished
     */
    MoveState advanceTo(long id, MoveState state) {
        for (int i = 0;
                i < 200
                        && coordinator.state().move(id) != null
                        && coordinator.state().move(id).state() != state;
                i++) {
            execute(coordinator.tick(now), -1);
            if (coordinator.state().move(id) != null
                    && coordinator.state().move(id).state() != state) {
                acknowledgeCommands();
            }
            now = now.plusMillis(100);
        }
        return coordinator.state().move(id) == null ? null : coordinator.state().move(id).state();
    }

    Move finishedMove(long id) {
        return coordinator.state().finishedMoves().stream()
                .filter(move -> move.id == id)
                .findFirst()
                .orElseThrow();
    }

    Layout layout() {
        return coordinator.state().layout();
    }
}
