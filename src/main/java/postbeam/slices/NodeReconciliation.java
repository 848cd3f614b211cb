package postbeam.slices;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Brings nodes back in line with the layout, outside of moves: a node that reappears may have lost
 * the knowledge of which slices it serves, or still have data of slices that were moved off it
 * while it was not listed.
 */
final class NodeReconciliation {
    /** The move id of commands that belong to no move. */
    static final long NO_MOVE = 0;

    /** Maximum number of unacknowledged SERVE commands per node, whose command queue is bounded. */
    private static final int MAX_SERVES_IN_FLIGHT = 64;

    /** The version in DROP commands, which apply regardless of the layout version. */
    private static final long ANY_VERSION = 0;

    private final MoveJournalState state;
    private final MoveLimits limits;
    private final NodeStates nodes;
    private final MoveApproval approval;
    private final CommandDeliveries drops = new CommandDeliveries();

    /** The SERVE commands of nodes that have yet to acknowledge all their slices, by node. */
    private final Map<String, CommandDeliveries> serveDeliveries = new LinkedHashMap<>();

    NodeReconciliation(
            MoveJournalState state, MoveLimits limits, NodeStates nodes, MoveApproval approval) {
        this.state = state;
        this.limits = limits;
        this.nodes = nodes;
        this.approval = approval;
    }

    /**
     * Resets the deliveries to a node that appeared, reappeared or restarted, so that it is sent
     * SERVE for all its slices and its pending DROPs again.
     */
    void onArrival(String node) {
        serveDeliveries.put(node, new CommandDeliveries());
        drops.forgetNode(node);
    }

    /** Records the acknowledgement of a command that belongs to no move. */
    void acknowledge(String node, HandoffCommand command, int slice) {
        if (command != HandoffCommand.SERVE) {
            drops.acknowledge(node, command, slice);
        } else if (serveDeliveries.containsKey(node)) {
            serveDeliveries.get(node).acknowledge(node, command, slice);
        }
    }

    /**
     * Sends DROP to nodes that did not acknowledge it during the move. A node that was not listed
     * while a slice was moved off it would otherwise serve old data to a router with an equally old
     * layout.
     */
    void sendPendingDrops(ActionList actions) {
        forgetCancelledDrops();
        for (Move.OldHolder holder : List.copyOf(state.pendingDrops())) {
            CoordinatorAction.SendCommand drop =
                    new CoordinatorAction.SendCommand(
                            NO_MOVE,
                            holder.node(),
                            HandoffCommand.DROP,
                            holder.slice(),
                            holder.keys(),
                            ANY_VERSION,
                            null);
            if (drops.send(drop, nodes, limits.resendInterval(), actions)) {
                drops.forget(holder.node(), HandoffCommand.DROP, holder.slice());
                actions.append(new JournalRecord.PendingDrop(holder, false));
            }
        }
    }

    /**
     * Forgets drops that are no longer pending, so that a late acknowledgement does not count for a
     * later drop of the same slice.
     */
    private void forgetCancelledDrops() {
        drops.retain(
                (node, slice) ->
                        state.pendingDrops().stream()
                                .anyMatch(
                                        holder ->
                                                holder.slice() == slice
                                                        && holder.node().equals(node)));
    }

    /**
     * Sends SERVE to nodes that appeared, reappeared or restarted, for each slice that the layout
     * assigns to them and that is not moving.
     */
    void sendServeCommands(ActionList actions) {
        serveDeliveries
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean complete =
                                    sendServeCommandsTo(actions, entry.getKey(), entry.getValue());
                            return complete || nodes.isGone(entry.getKey());
                        });
    }

    /** Returns whether the node has acknowledged SERVE for all its slices. */
    private boolean sendServeCommandsTo(
            ActionList actions, String node, CommandDeliveries deliveries) {
        boolean complete = true;
        int inFlight = 0;
        for (Slice slice : state.layout().slices()) {
            if (!slice.heldBy(node) || inFlight >= MAX_SERVES_IN_FLIGHT) {
                continue;
            }
            // A slice that a move changes counts as unacknowledged, so its SERVE is sent after the
            // move.
            boolean acknowledged =
                    !isMoving(slice.number())
                            && deliveries.send(
                                    serve(node, slice), nodes, limits.resendInterval(), actions);
            inFlight += acknowledged ? 0 : 1;
            complete &= acknowledged;
        }
        return complete;
    }

    private static CoordinatorAction.SendCommand serve(String node, Slice slice) {
        return new CoordinatorAction.SendCommand(
                NO_MOVE,
                node,
                HandoffCommand.SERVE,
                slice.number(),
                slice.keys(),
                slice.createdVersion(),
                null);
    }

    private boolean isMoving(int slice) {
        return state.activeMoves().stream()
                .anyMatch(move -> move.concerns(slice) && !approval.isAwaitingApproval(move));
    }
}
