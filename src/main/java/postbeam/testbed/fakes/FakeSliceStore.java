package postbeam.testbed.fakes;

import java.util.Map;
import java.util.TreeMap;
import postbeam.slices.HandoffCommand;
import postbeam.slices.KeyRange;

/** The slices of one fake data node, as the orders of the layout service have left them. */
public final class FakeSliceStore {
    /** State of a slice at the node. */
    public enum SliceState {
        COPYING,
        HOLDING,
        SERVING,
        FENCED
    }

    /** A slice at the node. It accepts no calls of layout versions before {@code minVersion}. */
    public static final class HeldSlice {
        final KeyRange keys;
        public SliceState state = SliceState.COPYING;
        long minVersion;

        /** Number of accepted calls that have not ended. */
        int runningCalls;

        boolean copied;

        /** The highest number of an order for the slice. */
        private OrderNumber lastOrder = OrderNumber.NONE;

        HeldSlice(KeyRange keys) {
            this.keys = keys;
        }
    }

    private final Map<Integer, HeldSlice> slices = new TreeMap<>();

    /** The highest number of an order after which its slice was not held. */
    private OrderNumber lastOrderNotHeld = OrderNumber.NONE;

    /** Returns the slice with this number; null if it is not held. */
    public HeldSlice find(int slice) {
        return slices.get(slice);
    }

    /**
     * Accepts a call, which {@link #completeCall} must end; returns null if the slice is not served
     * under this layout version.
     */
    public HeldSlice tryAccept(int slice, long version, KeyRange keys) {
        HeldSlice held = slices.get(slice);
        if (held == null
                || held.state != SliceState.SERVING
                || version < held.minVersion
                || !held.keys.contains(keys)) {
            return null;
        }
        held.runningCalls++;
        return held;
    }

    /** Ends a call that {@link #tryAccept} accepted. */
    public void completeCall(HeldSlice held) {
        held.runningCalls--;
    }

    /** Removes all that is known: the node lost its disk. */
    public void forgetAll() {
        slices.clear();
        lastOrderNotHeld = OrderNumber.NONE;
    }

    /** Restores the state on the node's disk after a restart; incomplete copies are lost. */
    public void restarted() {
        slices.values().removeIf(held -> !held.copied);
        slices.replaceAll(
                (slice, held) -> {
                    HeldSlice restored = new HeldSlice(held.keys);
                    restored.state = held.state;
                    restored.minVersion = held.minVersion;
                    restored.lastOrder = held.lastOrder;
                    restored.copied = true;
                    return restored;
                });
    }

    /**
     * Returns whether the order was overtaken by a later one for the slice, and must not be carried
     * out. One number is kept for all slices that are not held: an order for one of them that was
     * overtaken by an order for another is rejected as well, and is sent again.
     */
    public boolean isOvertaken(int slice, OrderNumber number) {
        HeldSlice held = slices.get(slice);
        OrderNumber last = held == null ? lastOrderNotHeld : held.lastOrder;
        return !number.equals(OrderNumber.NONE) && number.compareTo(last) < 0;
    }

    /**
     * Carries out an order unless it {@link #isOvertaken}.
     *
     * @param copied whether the data are here, after the caller copied them
     * @return whether the order is complete; if not, the same order reports it later
     */
    public boolean execute(
            HandoffCommand command,
            int slice,
            KeyRange keys,
            long version,
            OrderNumber number,
            boolean copied) {
        if (isOvertaken(slice, number)) {
            return false;
        }
        boolean done = apply(command, slice, keys, version, copied);
        HeldSlice held = slices.get(slice);
        if (held == null) {
            lastOrderNotHeld = OrderNumber.max(lastOrderNotHeld, number);
        } else {
            held.lastOrder = OrderNumber.max(held.lastOrder, number);
        }
        return done;
    }

    private boolean apply(
            HandoffCommand command, int slice, KeyRange keys, long version, boolean copied) {
        HeldSlice held = slices.get(slice);
        switch (command) {
            case COPY -> {
                if (held == null
                        || held.state == SliceState.FENCED
                        || held.state == SliceState.SERVING) {
                    held = new HeldSlice(keys);
                    slices.put(slice, held);
                }
                held.copied |= copied;
                return held.copied;
            }
            case HOLD -> {
                if (held == null || !held.copied) {
                    return false;
                }
                held.state = held.state == SliceState.COPYING ? SliceState.HOLDING : held.state;
                return true;
            }
            case FENCE -> {
                if (held == null) {
                    return true;
                }
                held.state = SliceState.FENCED;
                return held.runningCalls == 0;
            }
            case SERVE -> {
                if (held == null) {
                    held = new HeldSlice(keys);
                    slices.put(slice, held);
                }
                held.minVersion =
                        held.state == SliceState.SERVING
                                ? Math.max(held.minVersion, version)
                                : version;
                held.state = SliceState.SERVING;
                held.copied = true;
                return true;
            }
            default -> {
                slices.remove(slice);
                return true;
            }
        }
    }
}
