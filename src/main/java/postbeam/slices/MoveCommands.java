package postbeam.slices;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** The commands of all moves under way. */
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

    /** Forgets what was sent to a node that has come back or restarted. */
    void forgetNode(String node) {
        byMove.values().forEach(deliveries -> deliveries.forgetNode(node));
    }

    /** Forgets the commands of moves that are over. */
    void forgetFinishedMoves() {
        byMove.keySet().removeIf(id -> state.move(id) == null);
    }

    /**
     * Sends the command to each destination; true once all have acknowledged it, or are gone where
     * they drop.
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
     * Sends the command to each old holder; true once all have acknowledged it, but for those that
     * are gone.
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

    /** Sends the command to one old holder; true once it is acknowledged. */
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

    /** Whether it holds for all; each is tested, since the test sends what is due. */
    private static <T> boolean evaluateAll(List<T> list, Predicate<T> predicate) {
        boolean all = true;
        for (T one : list) {
            all &= predicate.test(one);
        }
        return all;
    }
}
