package postbeam.slices;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiPredicate;

/**
 * The commands of one move, or of one node's reminder: when each was sent last, and whether it was
 * acknowledged. Commands are idempotent, so each is sent again until it is acknowledged.
 */
final class CommandDeliveries {
    private record Key(String node, HandoffCommand command, int slice) {}

    private static final class Delivery {
        /** Null until it was sent. */
        private Duration sentAt;

        private boolean acknowledged;

        private boolean isDue(Duration now, Duration resendInterval) {
            return !acknowledged
                    && (sentAt == null || now.minus(sentAt).compareTo(resendInterval) >= 0);
        }
    }

    private final Map<Key, Delivery> deliveries = new HashMap<>();

    /**
     * Sends the command unless it was sent lately or is acknowledged, or its node is gone.
     *
     * @return whether the command is acknowledged
     */
    boolean send(
            CoordinatorAction.SendCommand command,
            NodeStates nodes,
            Duration resendInterval,
            ActionList actions) {
        Delivery delivery =
                deliveries.computeIfAbsent(
                        new Key(command.node(), command.command(), command.slice()),
                        key -> new Delivery());
        if (delivery.isDue(actions.now(), resendInterval) && !nodes.isGone(command.node())) {
            delivery.sentAt = actions.now();
            actions.send(command);
        }
        return delivery.acknowledged;
    }

    /** Takes a node's acknowledgement; one of a command that was never sent is ignored. */
    void acknowledge(String node, HandoffCommand command, int slice) {
        Delivery delivery = deliveries.get(new Key(node, command, slice));
        if (delivery != null) {
            delivery.acknowledged = true;
        }
    }

    boolean isAcknowledged(String node, HandoffCommand command, int slice) {
        Delivery delivery = deliveries.get(new Key(node, command, slice));
        return delivery != null && delivery.acknowledged;
    }

    /** Forgets a command, so that it is sent anew when it is due again. */
    void forget(String node, HandoffCommand command, int slice) {
        deliveries.remove(new Key(node, command, slice));
    }

    /** Forgets the commands for all nodes and slices but those that match. */
    void retain(BiPredicate<String, Integer> wanted) {
        deliveries.keySet().removeIf(key -> !wanted.test(key.node(), key.slice()));
    }

    /** Forgets what was sent to a node, which may have lost it. */
    void forgetNode(String node) {
        deliveries.keySet().removeIf(key -> key.node().equals(node));
    }
}
