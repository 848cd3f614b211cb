package postbeam.slices;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiPredicate;

/**
 * Delivery state of a set of commands, for example those of one move: when each was last sent, and
 * whether it was acknowledged. Commands are idempotent, so each is sent again until it is
 * acknowledged.
 */
final class CommandDeliveries {
    private record Key(String node, HandoffCommand command, int slice) {}

    private static final class Delivery {
        /** When the command was last sent; null if it was not sent yet. */
        private Duration sentAt;

        private boolean acknowledged;

        private boolean isDue(Duration now, Duration resendInterval) {
            return !acknowledged
                    && (sentAt == null || now.minus(sentAt).compareTo(resendInterval) >= 0);
        }
    }

    private final Map<Key, Delivery> deliveries = new HashMap<>();

    /**
     * Sends the command unless it is acknowledged, was sent less than {@code resendInterval} ago,
     * or its node is no longer listed.
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

    /** Records a node's acknowledgement; one for a command that was never sent is ignored. */
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

    /** Forgets a command, so that the next call of {@link #send} sends it at once. */
    void forget(String node, HandoffCommand command, int slice) {
        deliveries.remove(new Key(node, command, slice));
    }

    /** Forgets all commands except those whose node and slice match. */
    void retain(BiPredicate<String, Integer> wanted) {
        deliveries.keySet().removeIf(key -> !wanted.test(key.node(), key.slice()));
    }

    /**
     * Forgets the commands sent to a node that restarted or reappeared and may have lost them, so
     * that they are sent again.
     */
    void forgetNode(String node) {
        deliveries.keySet().removeIf(key -> key.node().equals(node));
    }
}
