package postbeam.testbed.fakes;

import java.util.Map;
import java.util.TreeMap;
import postbeam.slices.HandoffCommand;
import postbeam.slices.KeyRange;

/**
 * What one stand-in node holds, as it was ordered: which calls it takes, and which it says it never
 * ran.
 */
public final class FakeSliceStore {
    /** How far a slice is held here. */
    public enum SliceState {
        COPYING,
        HOLDING,
        SERVING,
        FENCED
    }

    /** A slice here; calls of an older version than this one are not for it. */
    public static final class HeldSlice {
        final KeyRange keys;
        public SliceState state = SliceState.COPYING;
        long minVersion;

        /** Calls taken and not over. */
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

    /** The slice of this number; null where it is not held. */
    public HeldSlice find(int slice) {
        return slices.get(slice);
    }

    /**
     * Takes a call, which {@link #completeCall} must end; null where it is not served here under
     * that version.
     */
    public HeldSlice tryAccept(int slice, long version, KeyRange keys) {
        HeldSlice one = slices.get(slice);
        if (one == null
                || one.state != SliceState.SERVING
                || version < one.minVersion
                || !one.keys.contains(keys)) {
            return null;
        }
        one.runningCalls++;
        return one;
    }

    /** Ends a call that {@link #tryAccept} accepted. */
    public void completeCall(HeldSlice one) {
        one.runningCalls--;
    }

    /** A node that lost its disk holds nothing until it is told. */
    public void forgetAll() {
        slices.clear();
        lastOrderNotHeld = OrderNumber.NONE;
    }

    /**
     * One that starts again knows from its disk what it serves and from which version; half a copy
     * is none.
     */
    public void restarted() {
        slices.values().removeIf(one -> !one.copied);
        slices.replaceAll(
                (slice, one) -> {
                    HeldSlice again = new HeldSlice(one.keys);
                    again.state = one.state;
                    again.minVersion = one.minVersion;
                    again.lastOrder = one.lastOrder;
                    again.copied = true;
                    return again;
                });
    }

    /**
     * Whether the order was overtaken by a later one for the slice, and must not be carried out.
     * What is remembered of slices that are not held is one number for all: an order for one of
     * them that was overtaken by an order for another is rejected as well, and will be sent again.
     */
    public boolean isOvertaken(int slice, OrderNumber number) {
        HeldSlice one = slices.get(slice);
        OrderNumber last = one == null ? lastOrderNotHeld : one.lastOrder;
        return !number.equals(OrderNumber.NONE) && number.compareTo(last) < 0;
    }

    /**
     * Carries out an order unless it {@link #isOvertaken}.
     *
     * @param copied whether the data are here, after the caller copied them
     * @return whether the order is done; else it goes on, and the same order later tells
     */
    public boolean ordered(
            HandoffCommand command,
            int slice,
            KeyRange keys,
            long version,
            OrderNumber number,
            boolean copied) {
        if (isOvertaken(slice, number)) {
            return false;
        }
        boolean done = carryOut(command, slice, keys, version, copied);
        HeldSlice one = slices.get(slice);
        if (one == null) {
            lastOrderNotHeld = OrderNumber.max(lastOrderNotHeld, number);
        } else {
            one.lastOrder = OrderNumber.max(one.lastOrder, number);
        }
        return done;
    }

    private boolean carryOut(
            HandoffCommand command, int slice, KeyRange keys, long version, boolean copied) {
        HeldSlice one = slices.get(slice);
        switch (command) {
            case COPY -> {
                if (one == null
                        || one.state == SliceState.FENCED
                        || one.state == SliceState.SERVING) {
                    one = new HeldSlice(keys);
                    slices.put(slice, one);
                }
                one.copied |= copied;
                return one.copied;
            }
            case HOLD -> {
                if (one == null || !one.copied) {
                    return false;
                }
                one.state = one.state == SliceState.COPYING ? SliceState.HOLDING : one.state;
                return true;
            }
            case FENCE -> {
                if (one == null) {
                    return true;
                }
                one.state = SliceState.FENCED;
                return one.runningCalls == 0;
            }
            case SERVE -> {
                if (one == null) {
                    one = new HeldSlice(keys);
                    slices.put(slice, one);
                }
                one.minVersion =
                        one.state == SliceState.SERVING
                                ? Math.max(one.minVersion, version)
                                : version;
                one.state = SliceState.SERVING;
                one.copied = true;
                return true;
            }
            default -> {
                slices.remove(slice);
                return true;
            }
        }
    }
}
