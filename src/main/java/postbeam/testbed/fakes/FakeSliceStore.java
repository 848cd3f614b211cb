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
    public enum Standing {
        COPYING,
        HOLDING,
        SERVING,
        FENCED
    }

    /** A slice here; calls of an older version than this one are not for it. */
    public static final class Held {
        final KeyRange keys;
        public Standing standing = Standing.COPYING;
        long from;

        /** Calls taken and not over. */
        int running;

        boolean copied;

        Held(KeyRange keys) {
            this.keys = keys;
        }
    }

    private final Map<Integer, Held> held = new TreeMap<>();

    public Held of(int slice) {
        return held.get(slice);
    }

    /**
     * Takes a call, which {@link #over} must end; null where it is not served here under that
     * version.
     */
    public Held take(int slice, long version, KeyRange keys) {
        Held one = held.get(slice);
        if (one == null
                || one.standing != Standing.SERVING
                || version < one.from
                || !one.keys.contains(keys)) {
            return null;
        }
        one.running++;
        return one;
    }

    public void over(Held one) {
        one.running--;
    }

    /** A node that lost its disk holds nothing until it is told. */
    public void forgetAll() {
        held.clear();
    }

    /**
     * One that starts again knows from its disk what it serves and from which version; half a copy
     * is none.
     */
    public void restarted() {
        held.values().removeIf(one -> !one.copied);
        held.replaceAll(
                (slice, one) -> {
                    Held again = new Held(one.keys);
                    again.standing = one.standing;
                    again.from = one.from;
                    again.copied = true;
                    return again;
                });
    }

    /**
     * Whether the order is done; else it goes on, and the same order later tells. The copying is
     * the caller's.
     */
    public boolean ordered(
            HandoffCommand command, int slice, KeyRange keys, long version, boolean copied) {
        Held one = held.get(slice);
        switch (command) {
            case COPY -> {
                if (one == null
                        || one.standing == Standing.FENCED
                        || one.standing == Standing.SERVING) {
                    one = new Held(keys);
                    held.put(slice, one);
                }
                one.copied |= copied;
                return one.copied;
            }
            case HOLD -> {
                if (one == null || !one.copied) {
                    return false;
                }
                one.standing = one.standing == Standing.COPYING ? Standing.HOLDING : one.standing;
                return true;
            }
            case FENCE -> {
                if (one == null) {
                    return true;
                }
                one.standing = Standing.FENCED;
                return one.running == 0;
            }
            case SERVE -> {
                if (one == null) {
                    one = new Held(keys);
                    held.put(slice, one);
                }
                one.from = one.standing == Standing.SERVING ? Math.max(one.from, version) : version;
                one.standing = Standing.SERVING;
                one.copied = true;
                return true;
            }
            default -> {
                held.remove(slice);
                return true;
            }
        }
    }
}
