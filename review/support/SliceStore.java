import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * The slices of one node: carries out each order as it comes; one that comes twice changes
 * nothing. A node that hears of slices for the first time by SERVE has their data on its disk.
 */
final class SliceStore implements Rig.Slices {
    /** What a node does with a slice, in the words of docs/moving-slices.md. */
    private enum State {
        COPYING,
        HOLDING,
        SERVING,
        FENCED
    }

    private final Map<Integer, State> states = new TreeMap<>();
    private final Map<Integer, Long> from = new TreeMap<>();
    private final Map<Integer, Long> servedSince = new TreeMap<>();
    private final LongSupplier clock;

    SliceStore(LongSupplier clock) {
        this.clock = clock;
    }

    @Override
    public synchronized String order(String order) {
        String[] words = order.split(" ");
        int slice = Integer.parseInt(words[2]);
        State state = states.get(slice);
        String status = "done";
        switch (words[0]) {
            case "COPY" -> states.putIfAbsent(slice, State.COPYING);
            case "HOLD" -> {
                if (state == null) {
                    status = "busy";
                } else if (state == State.COPYING) {
                    states.put(slice, State.HOLDING);
                }
            }
            case "FENCE" -> {
                if (state != null) {
                    states.put(slice, State.FENCED);
                }
            }
            case "SERVE" -> {
                long version = Long.parseLong(words[5]);
                from.merge(
                        slice,
                        version,
                        (before, next) -> state == State.SERVING ? Math.max(before, next) : next);
                states.put(slice, State.SERVING);
                servedSince.putIfAbsent(slice, clock.getAsLong());
            }
            case "DROP" -> {
                states.remove(slice);
                from.remove(slice);
            }
            default -> status = "busy";
        }
        return words[0] + " " + words[1] + " " + slice + " " + status;
    }

    @Override
    public synchronized boolean serves(int slice, long version) {
        return states.get(slice) == State.SERVING && version >= from.get(slice);
    }

    synchronized String state(int slice) {
        return String.valueOf(states.get(slice));
    }

    /** When the node was first told to serve the slice; the largest number where it never was. */
    synchronized long servedSince(int slice) {
        return servedSince.getOrDefault(slice, Long.MAX_VALUE);
    }
}
