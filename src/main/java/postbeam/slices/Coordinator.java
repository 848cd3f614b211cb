package postbeam.slices;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides how slices move: when each move starts, which commands its nodes get, when the layout is
 * cut over and when a move is abandoned. All state that must survive a restart is in the {@link
 * MoveJournalState}. Which commands were sent and acknowledged is not journaled, since commands are
 * idempotent: a restarted coordinator sends the commands that the journaled state of each move
 * requires, and accepts acknowledgements of the same commands sent before the restart.
 *
 * <p>Does no I/O, reads no clock and starts no threads: callers pass the time as a duration since
 * the Unix epoch, and execute the returned actions in order. Not thread-safe.
 */
public final class Coordinator {
    private final MoveJournalState state;
    private final MoveLimits limits;
    private final NodeStates nodes = new NodeStates();
    private final MoveApproval approval = new MoveApproval();
    private final MoveCommands commands;
    private final ChangePlanner planner;
    private final MoveStateMachine stateMachine;
    private final NodeReconciliation reconciliation;

    /** The number of the last command, counted anew in each term. */
    private long lastCommandNumber;

    /** Creates a coordinator over the state that results from the journal's records. */
    public Coordinator(MoveJournalState state, MoveLimits limits) {
        this.state = state;
        this.limits = limits;
        this.commands = new MoveCommands(state, limits, nodes);
        this.planner = new ChangePlanner(state, limits, nodes, approval);
        this.stateMachine = new MoveStateMachine(state, limits, nodes, commands, approval, planner);
        this.reconciliation = new NodeReconciliation(state, limits, nodes, approval);
    }

    private ActionList newActionList(Duration now) {
        return new ActionList(state, now, () -> ++lastCommandNumber);
    }

    /** The state that results from the journal's records. */
    public MoveJournalState state() {
        return state;
    }

    /**
     * Sets the workflow that decides whether each move may go on; it replaces the one set before.
     */
    public void setAdmission(MoveAdmission admission) {
        approval.setAdmission(admission);
    }

    // ---- nodes

    /**
     * Handles an update of the data-node list. A node that appears, reappears or restarts is sent
     * SERVE again for each slice that the layout assigns to it.
     *
     * @param update the listed nodes by name; a node that is not in it keeps its last state
     * @param restarted names of the nodes that restarted since the last update
     */
    public void onNodesListed(Map<String, TargetLayout.NodeInfo> update, List<String> restarted) {
        for (String node : nodes.update(update, restarted)) {
            reconciliation.onArrival(node);
            commands.forgetNode(node);
        }
    }

    /** Whether any data node has been listed yet. */
    public boolean hasNodeList() {
        return !nodes.isEmpty();
    }

    /** The last known state of a node; null if it was never listed. */
    public TargetLayout.NodeInfo nodeInfo(String node) {
        return nodes.find(node).orElse(null);
    }

    /**
     * Handles a node's acknowledgement of a command; one for a move that is over is ignored.
     *
     * @param move the move's id; 0 if the command belongs to no move
     */
    public void acknowledged(long move, String node, HandoffCommand command, int slice) {
        if (move == NodeReconciliation.NO_MOVE) {
            reconciliation.acknowledge(node, command, slice);
        } else {
            commands.acknowledge(move, node, command, slice);
        }
    }

    /**
     * Handles a node that carried out a command after it was given up. A later command may have
     * been undone, so all commands to the node count as unacknowledged and are sent again.
     */
    public void onLateCommand(String node) {
        reconciliation.onArrival(node);
        commands.forgetNode(node);
    }

    /**
     * Whether each destination of the move has acknowledged this command since the destination last
     * appeared in the node list or restarted.
     */
    public boolean destinationsAcknowledged(Move move, HandoffCommand command) {
        return move.destinations.stream()
                .allMatch(
                        destination ->
                                commands.isAcknowledged(
                                        move, command, destination.node(), destination.slice()));
    }

    // ---- operator requests

    /** The reason why the change can't be planned now, in one line; empty if it can. */
    public Optional<String> rejectionReason(LayoutChange change) {
        return planner.rejectionReason(change);
    }

    /**
     * Plans a change.
     *
     * @throws IllegalArgumentException if the change can't be planned now; the state is unchanged
     *     then
     */
    public List<CoordinatorAction> plan(LayoutChange change, Duration now) {
        ActionList actions = newActionList(now);
        planner.plan(actions, change);
        return actions.toList();
    }

    /** The problems of a target, one line each; empty if it can be set. */
    public List<String> targetProblems(TargetLayout target) {
        return target.problems(nodes.all(), limits.minHolders(), limits.minZones());
    }

    /**
     * Sets the target: each tick plans changes that lead to it.
     *
     * @param target null to plan no further changes
     * @throws IllegalArgumentException if the target can't be reached; the message is its first
     *     problem
     */
    public List<CoordinatorAction> setTarget(TargetLayout target) {
        List<String> problems = target == null ? List.of() : targetProblems(target);
        if (!problems.isEmpty()) {
            throw new IllegalArgumentException(problems.get(0));
        }
        ActionList actions = newActionList(Duration.ZERO);
        actions.append(new JournalRecord.TargetSet(target));
        return actions.toList();
    }

    /**
     * Rolls a move back. A move that is cut over already is completed first, and then its reverse
     * is planned.
     *
     * @throws IllegalArgumentException if no such move is under way, or it is being abandoned
     *     already
     */
    public List<CoordinatorAction> abandon(long id, String reason, Duration now) {
        Move move = state.move(id);
        if (move == null) {
            throw new IllegalArgumentException("no move " + id + " is under way");
        }
        if (move.state() == MoveState.ABANDONING || move.reverseWhenDone()) {
            throw new IllegalArgumentException("move " + id + " is being abandoned already");
        }
        ActionList actions = newActionList(now);
        stateMachine.abandon(actions, move, reason);
        return actions.toList();
    }

    /**
     * Transfers that replace holders whose nodes are no longer listed. They are only proposed to
     * operators, since the coordinator can't know whether a node that is no longer listed is dead.
     */
    public List<LayoutChange> repairs() {
        return planner.repairs();
    }

    // ---- periodic work

    /** Advances all moves as far as possible now, and returns the actions to execute. */
    public List<CoordinatorAction> tick(Duration now) {
        ActionList actions = newActionList(now);
        List.copyOf(state.activeMoves()).forEach(move -> stateMachine.advance(actions, move));
        if (state.target() != null) {
            planTowardsTarget(actions);
        }
        commands.forgetFinishedMoves();
        reconciliation.sendPendingDrops(actions);
        reconciliation.sendServeCommands(actions);
        return actions.toList();
    }

    /**
     * Plans changes towards the target until the moves that wait or run are twice as many as may
     * run at once. The next tick finds the remaining changes again.
     */
    private void planTowardsTarget(ActionList actions) {
        for (LayoutChange change :
                Planner.nextChanges(state.layout(), state.target(), state.busySlices())) {
            long waitingOrMoving =
                    state.activeMoves().stream()
                            .filter(move -> !approval.isAwaitingApproval(move))
                            .count();
            if (waitingOrMoving < 2L * limits.maxMoves()
                    && planner.rejectionReason(change).isEmpty()) {
                planner.plan(actions, change);
            }
        }
    }
}
