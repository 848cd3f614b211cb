package postbeam.slices;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides how slices move: when each move starts, which commands its nodes get, when the layout is
 * cut over and when a move is abandoned. All that must outlive a restart is in the {@link
 * MoveJournalState}; which commands were sent and acknowledged is not, since each command is
 * idempotent. A coordinator that starts anew sends what the journaled state of each move asks for,
 * and takes acknowledgements of its predecessor's commands as its own.
 *
 * <p>No I/O, no clock and no thread: callers pass the time, since 1970, and carry out the actions
 * in order. Not thread-safe.
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

    /** A coordinator over the state that the journal's records add up to. */
    public Coordinator(MoveJournalState state, MoveLimits limits) {
        this.state = state;
        this.limits = limits;
        this.commands = new MoveCommands(state, limits, nodes);
        this.planner = new ChangePlanner(state, limits, nodes, approval);
        this.stateMachine = new MoveStateMachine(state, limits, nodes, commands, approval, planner);
        this.reconciliation = new NodeReconciliation(state, limits, nodes, approval);
    }

    /** What the journal's records add up to. */
    public MoveJournalState state() {
        return state;
    }

    /** From now on moves go on as far as this permits. */
    public void setAdmission(MoveAdmission admission) {
        approval.setAdmission(admission);
    }

    // ---- nodes

    /**
     * Takes an update of the data-node list. A node that comes, comes back or restarts is reminded
     * of what it serves.
     *
     * @param restarted nodes that have started anew since the last update
     */
    public void onNodesListed(Map<String, TargetLayout.NodeInfo> update, List<String> restarted) {
        for (String node : nodes.update(update, restarted)) {
            reconciliation.onArrival(node);
            commands.forgetNode(node);
        }
    }

    /** Whether a list of data nodes has come yet. */
    public boolean hasNodeList() {
        return !nodes.isEmpty();
    }

    /** What is known of a node; null for one that was never listed. */
    public TargetLayout.NodeInfo nodeInfo(String node) {
        return nodes.find(node).orElse(null);
    }

    /** Takes a node's acknowledgement of a command; one for a move that is over is ignored. */
    public void acknowledged(long move, String node, HandoffCommand command, int slice) {
        if (move == NodeReconciliation.NO_MOVE) {
            reconciliation.acknowledge(node, command, slice);
        } else {
            commands.acknowledge(move, node, command, slice);
        }
    }

    /**
     * Whether each destination of the move has acknowledged this command since it came onto the
     * list.
     */
    public boolean destinationsAcknowledged(Move move, HandoffCommand command) {
        return move.destinations.stream()
                .allMatch(
                        destination ->
                                commands.isAcknowledged(
                                        move, command, destination.node(), destination.slice()));
    }

    // ---- operators

    /** Why the change can't be planned now, in one line; empty where it can. */
    public Optional<String> rejectionReason(LayoutChange change) {
        return planner.rejectionReason(change);
    }

    /**
     * Plans a change.
     *
     * @throws IllegalArgumentException it can't be planned now; nothing has changed then
     */
    public List<CoordinatorAction> plan(LayoutChange change, Duration now) {
        ActionList actions = new ActionList(state, now);
        planner.plan(actions, change);
        return actions.toList();
    }

    /** What is wrong with a target, a line each; empty where it can be set. */
    public List<String> targetProblems(TargetLayout target) {
        return target.problems(nodes.all(), limits.minHolders(), limits.minZones());
    }

    /**
     * From now on changes are planned that lead to the target.
     *
     * @param target null: no further changes are planned
     * @throws IllegalArgumentException the target can't be reached; the message is its first
     *     problem
     */
    public List<CoordinatorAction> setTarget(TargetLayout target) {
        List<String> problems = target == null ? List.of() : targetProblems(target);
        if (!problems.isEmpty()) {
            throw new IllegalArgumentException(problems.get(0));
        }
        ActionList actions = new ActionList(state, Duration.ZERO);
        actions.append(new JournalRecord.TargetSet(target));
        return actions.toList();
    }

    /**
     * Rolls a move back; one that is cut over already is completed and its reverse planned.
     *
     * @throws IllegalArgumentException no such move is under way, or it is being abandoned already
     */
    public List<CoordinatorAction> abandon(long id, String reason, Duration now) {
        Move move = state.move(id);
        if (move == null) {
            throw new IllegalArgumentException("no move " + id + " is under way");
        }
        if (move.state() == MoveState.ABANDONING || move.reverseWhenDone()) {
            throw new IllegalArgumentException("move " + id + " is being abandoned already");
        }
        ActionList actions = new ActionList(state, now);
        stateMachine.abandon(actions, move, reason);
        return actions.toList();
    }

    /**
     * Moves that would bring slices off nodes that are gone: for operators, who alone know that
     * these are dead.
     */
    public List<LayoutChange> repairs() {
        return planner.repairs();
    }

    // ---- time

    /** What is to be done now. */
    public List<CoordinatorAction> tick(Duration now) {
        ActionList actions = new ActionList(state, now);
        List.copyOf(state.activeMoves()).forEach(move -> stateMachine.advance(actions, move));
        if (state.target() != null) {
            planTowardsTarget(actions);
        }
        commands.forgetFinishedMoves();
        reconciliation.sendPendingDrops(actions);
        reconciliation.sendServeCommands(actions);
        return actions.toList();
    }

    /** Plans as many changes as there is room for; the others are found again at the next tick. */
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
