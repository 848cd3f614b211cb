package postbeam.slices;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Brings nodes back in line with the layout, apart from any move: a node that comes back may have
 * forgotten what it is to serve, or still hold what was taken off it while it was gone.
 */
final class NodeReconciliation {
    /** The move of commands that belong to no move. */
    static final long NO_MOVE = 0;

    /**
     * Slices that a node is reminded of at once until it has acknowledged them: its queue is
     * bounded.
     */
    private static final int MAX_SERVES_IN_FLIGHT = 64;

    /** A slice that is to be dropped is dropped whatever the version. */
    private static final long ANY_VERSION = 0;

    private final MoveJournalState state;
    private final MoveLimits limits;
    private final NodeStates nodes;
    private final MoveApproval approval;
    private final CommandDeliveries drops = new CommandDeliveries();

    /** By node that is to be reminded of what it serves. */
    private final Map<String, CommandDeliveries> serveDeliveries = new LinkedHashMap<>();

    NodeReconciliation(
            MoveJournalState state, MoveLimits limits, NodeStates nodes, MoveApproval approval) {
        this.state = state;
        this.limits = limits;
        this.nodes = nodes;
        this.approval = approval;
    }

    /** A node has come, come back or restarted: it is to be reminded of what it serves. */
    void onArrival(String node) {
        serveDeliveries.put(node, new CommandDeliveries());
        drops.forgetNode(node);
    }

    /** Takes the acknowledgement of a command that belongs to no move. */
    void acknowledge(String node, HandoffCommand command, int slice) {
        if (command != HandoffCommand.SERVE) {
            drops.acknowledge(node, command, slice);
        } else if (serveDeliveries.containsKey(node)) {
            serveDeliveries.get(node).acknowledge(node, command, slice);
        }
    }

    /**
     * Has old holders drop what no command to drop reached them for in time: a node that was gone
     * while a slice was taken off it would serve old data to a router that is as far behind.
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

    /** A drop that is asked for again later must not count as done by a late acknowledgement. */
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
     * Has nodes that came back serve each slice that the layout gives them and that no move is
     * about.
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

    /** True once the node has acknowledged all. */
    private boolean sendServeCommandsTo(
            ActionList actions, String node, CommandDeliveries deliveries) {
        boolean complete = true;
        int inFlight = 0;
        for (Slice slice : state.layout().slices()) {
            if (!slice.heldBy(node) || inFlight >= MAX_SERVES_IN_FLIGHT) {
                continue;
            }
            // A slice that a move is about is reminded of once the move is over.
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
