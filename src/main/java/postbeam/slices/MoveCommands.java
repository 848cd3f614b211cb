package postbeam.slices;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Sends the commands of all moves under way and records their acknowledgements. */
final class MoveCommands {
    private final MoveJournalState state;
    private final MoveLimits limits;
    private final NodeStates nodes;
    private final Map<Long, CommandDeliveries> byMove = new HashMap<>();

    MoveCommands(MoveJournalState state, MoveLimits limits, NodeStates nodes) {
        this.state = state;
        this.limits = limits;
        this.nodes = nodes;
    }

    void acknowledge(long move, String node, HandoffCommand command, int slice) {
        CommandDeliveries deliveries = byMove.get(move);
        if (deliveries != null) {
            deliveries.acknowledge(node, command, slice);
        }
    }

    /** Forgets the commands sent to a node that reappeared or restarted. */
    void forgetNode(String node) {
        byMove.values().forEach(deliveries -> deliveries.forgetNode(node));
    }

    /** Forgets the commands of moves that are no longer under way. */
    void forgetFinishedMoves() {
        byMove.keySet().removeIf(id -> state.move(id) == null);
    }

    /**
     * Sends the command to each destination.
     *
     * @return whether all have acknowledged it; DROP also counts as acknowledged if the destination
     *     is no longer listed
     */
    boolean sendToDestinations(ActionList actions, Move move, HandoffCommand command) {
        return evaluateAll(
                move.destinations,
                destination ->
                        send(actions, move, command, destination)
                                || (command == HandoffCommand.DROP
                                        && nodes.isGone(destination.node())));
    }

    /**
     * Sends the command to each old holder.
     *
     * @return whether all old holders that are still listed have acknowledged it
     */
    boolean sendToOldHolders(ActionList actions, Move move, HandoffCommand command) {
        return evaluateAll(
                move.oldHolders,
                holder -> send(actions, move, command, holder) || nodes.isGone(holder.node()));
    }

    private boolean send(
            ActionList actions, Move move, HandoffCommand command, Move.Destination destination) {
        return send(
                actions,
                move.id,
                new CoordinatorAction.SendCommand(
                        move.id,
                        destination.node(),
                        command,
                        destination.slice(),
                        destination.keys(),
                        state.nextVersion(),
                        destination.source()));
    }

    /**
     * Sends the command to one old holder.
     *
     * @return whether it has acknowledged the command
     */
    boolean send(ActionList actions, Move move, HandoffCommand command, Move.OldHolder holder) {
        return send(
                actions,
                move.id,
                new CoordinatorAction.SendCommand(
                        move.id,
                        holder.node(),
                        command,
                        holder.slice(),
                        holder.keys(),
                        state.nextVersion(),
                        null));
    }

    private boolean send(ActionList actions, long move, CoordinatorAction.SendCommand command) {
        return byMove.computeIfAbsent(move, id -> new CommandDeliveries())
                .send(command, nodes, limits.resendInterval(), actions);
    }

    boolean isAcknowledged(Move move, HandoffCommand command, String node, int slice) {
        CommandDeliveries deliveries = byMove.get(move.id);
        return deliveries != null && deliveries.isAcknowledged(node, command, slice);
    }

    /**
     * Whether the command to each element is acknowledged. Unlike {@code allMatch}, it tests every
     * element, since the test itself sends the command.
     */
    private static <T> boolean evaluateAll(List<T> list, Predicate<T> predicate) {
        boolean all = true;
        for (T one : list) {
            all &= predicate.test(one);
        }
        return all;
    }
}
