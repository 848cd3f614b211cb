package postbeam.slices;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One version of which slices there are and who holds them, with the lineage of those that it has
 * replaced. It covers the key space once, by construction: {@link #validated} is the only way to
 * one from outside, {@link #withChange} the only way on. Never changed once made.
 */
public final class Layout {
    public final long version;

    /** The oldest version whose slices it still knows. */
    public final long oldestVersion;

    private final List<Slice> slices;
    private final Map<Integer, Slice> byNumber = new LinkedHashMap<>();
    private final Map<Integer, RetiredSlice> retiredSlices = new LinkedHashMap<>();

    private Layout(
            long version, long oldest, List<Slice> slices, Collection<RetiredSlice> retired) {
        this.version = version;
        this.oldestVersion = oldest;
        this.slices = List.copyOf(slices);
        slices.forEach(slice -> byNumber.put(slice.number(), slice));
        retired.stream()
                .filter(old -> old.retiredVersion() > oldest)
                .forEach(old -> this.retiredSlices.put(old.number(), old));
    }

    /** From what somebody tells; an IllegalArgumentException names what is wrong with it. */
    public static Layout validated(
            long version, long oldest, List<Slice> slices, List<RetiredSlice> retired) {
        if (version < 1 || oldest < 0 || oldest > version) {
            throw new IllegalArgumentException(
                    "versions can't be used: " + version + ", oldest " + oldest);
        }
        List<Slice> sorted = new ArrayList<>(slices);
        sorted.sort(Comparator.comparing(Slice::keys));
        Coverage.firstProblem(sorted.stream().map(Slice::keys).toList())
                .ifPresent(
                        problem -> {
                            throw new IllegalArgumentException(problem);
                        });
        Set<Integer> numbers = new HashSet<>();
        for (Slice slice : sorted) {
            if (!numbers.add(slice.number())) {
                throw new IllegalArgumentException(
                        "slice " + slice.number() + " stands there twice");
            }
            if (slice.holders().isEmpty()
                    || new HashSet<>(slice.nodes()).size() < slice.holders().size()) {
                throw new IllegalArgumentException(
                        "slice " + slice.number() + " has no holder, or one twice");
            }
            if (slice.createdVersion() > version) {
                throw new IllegalArgumentException(
                        "slice " + slice.number() + " is younger than its layout");
            }
        }
        for (RetiredSlice old : retired) {
            if (!numbers.add(old.number())) {
                throw new IllegalArgumentException("slice " + old.number() + " stands there twice");
            }
            if (old.createdVersion() >= old.retiredVersion() || old.retiredVersion() > version) {
                throw new IllegalArgumentException(
                        "retired slice " + old.number() + " has ages that can't be");
            }
        }
        return new Layout(version, oldest, sorted, retired);
    }

    /** The first layout: so many slices of even size, each with these holders in turn. */
    public static Layout initial(int count, List<String> nodes, int holders) {
        List<Slice> slices = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            List<Holder> held = new ArrayList<>();
            for (int j = 0; j < Math.min(holders, nodes.size()); j++) {
                held.add(new Holder(nodes.get((i + j) % nodes.size()), Duration.ZERO));
            }
            slices.add(
                    new Slice(
                            i,
                            new KeyRange(
                                    KeyRange.KEY_SPACE_SIZE / count * i,
                                    i + 1 == count
                                            ? KeyRange.KEY_SPACE_SIZE
                                            : KeyRange.KEY_SPACE_SIZE / count * (i + 1)),
                            1,
                            held));
        }
        return validated(1, 1, slices, List.of());
    }

    public List<Slice> slices() {
        return slices;
    }

    /** Null where there is none of that number in this version. */
    public Slice slice(int number) {
        return byNumber.get(number);
    }

    public Collection<RetiredSlice> retiredSlices() {
        return retiredSlices.values();
    }

    /**
     * The keys that a slice had in a version between the oldest and this one; null where there was
     * no such slice.
     */
    public KeyRange keysOf(int number, long in) {
        Slice slice = byNumber.get(number);
        if (slice != null) {
            return slice.createdVersion() <= in ? slice.keys() : null;
        }
        RetiredSlice old = retiredSlices.get(number);
        return old != null && old.createdVersion() <= in && in < old.retiredVersion()
                ? old.keys()
                : null;
    }

    /** The slices that hold any of these keys, in order. */
    public List<Slice> overlapping(KeyRange keys) {
        int low = 0;
        int high = slices.size() - 1;
        while (low < high) {
            int middle = (low + high + 1) >>> 1;
            if (slices.get(middle).keys().from() <= keys.from()) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        int end = low + 1;
        while (end < slices.size() && slices.get(end).keys().from() < keys.to()) {
            end++;
        }
        return slices.subList(low, end);
    }

    /** How many nodes hold a slice, on the mean and rounded up. */
    public int meanHolders() {
        int held = slices.stream().mapToInt(slice -> slice.holders().size()).sum();
        return Math.max(1, (held + slices.size() - 1) / slices.size());
    }

    // ---- on to the next

    /**
     * The same slices under a higher version: what was fenced may be taken up again by its old
     * holders.
     */
    public Layout withVersion(long next) {
        return new Layout(
                requireHigherVersion(next), oldestVersion, slices, retiredSlices.values());
    }

    /**
     * With the change, under a higher version. Slices born get these numbers, a new holder takes
     * its slice at this time, and versions more than so many back are forgotten. An
     * IllegalArgumentException says why it can't be done.
     */
    public Layout withChange(
            LayoutChange change, List<Integer> births, long next, Duration now, long history) {
        List<Slice> then = new ArrayList<>(slices);
        List<RetiredSlice> dead = new ArrayList<>(retiredSlices.values());
        requireHigherVersion(next);
        if (change instanceof LayoutChange.Transfer move) {
            Slice slice = requireSlice(move.slice());
            int at = then.indexOf(slice);
            then.set(
                    at,
                    new Slice(
                            slice.number(),
                            slice.keys(),
                            slice.createdVersion(),
                            holdersAfter(slice, move, now)));
        } else {
            List<KeyRange> born = newSliceRanges(change);
            if (births.size() != born.size()) {
                throw new IllegalArgumentException(
                        change + " bears " + born.size() + " slices, not " + births.size());
            }
            List<Holder> holders = requireSlice(change.slices().get(0)).holders();
            int at = then.indexOf(requireSlice(change.slices().get(0)));
            for (int number : change.slices()) {
                Slice slice = requireSlice(number);
                then.remove(slice);
                dead.add(
                        new RetiredSlice(
                                number, slice.keys(), slice.createdVersion(), next, births));
                holders = latestAcquired(holders, slice.holders());
            }
            for (int i = 0; i < born.size(); i++) {
                then.add(at + i, new Slice(births.get(i), born.get(i), next, holders));
            }
        }
        return new Layout(next, Math.max(oldestVersion, next - history), then, dead);
    }

    private long requireHigherVersion(long next) {
        if (next <= version) {
            throw new IllegalArgumentException("version " + next + " is not above " + version);
        }
        return next;
    }

    private Slice requireSlice(int number) {
        Slice slice = byNumber.get(number);
        if (slice == null) {
            throw new IllegalArgumentException("there is no slice " + number);
        }
        return slice;
    }

    /** The keys of the slices that a split or a merge bears. */
    public List<KeyRange> newSliceRanges(LayoutChange change) {
        if (change instanceof LayoutChange.Split split) {
            KeyRange keys = requireSlice(split.slice()).keys();
            List<KeyRange> born = new ArrayList<>();
            long from = keys.from();
            for (long cut : split.cuts()) {
                if (cut <= from || cut >= keys.to()) {
                    throw new IllegalArgumentException(
                            "slice "
                                    + split.slice()
                                    + " (keys "
                                    + keys
                                    + ") can't be cut at "
                                    + cut);
                }
                born.add(new KeyRange(from, cut));
                from = cut;
            }
            if (born.isEmpty()) {
                throw new IllegalArgumentException(
                        "a split of slice " + split.slice() + " without a cut");
            }
            born.add(new KeyRange(from, keys.to()));
            return born;
        }
        if (change instanceof LayoutChange.Merge merge) {
            if (merge.slices().size() < 2) {
                throw new IllegalArgumentException("a merge takes two slices or more");
            }
            Slice first = requireSlice(merge.slices().get(0));
            KeyRange keys = first.keys();
            for (int number : merge.slices().subList(1, merge.slices().size())) {
                Slice next = requireSlice(number);
                if (keys.to() != next.keys().from()) {
                    throw new IllegalArgumentException(
                            "slices " + merge.slices() + " are no neighbours in order");
                }
                if (!new HashSet<>(next.nodes()).equals(new HashSet<>(first.nodes()))) {
                    throw new IllegalArgumentException(
                            "slices "
                                    + first.number()
                                    + " and "
                                    + number
                                    + " are held by other nodes: move them together first");
                }
                keys = keys.joinedWith(next.keys());
            }
            return List.of(keys);
        }
        return List.of();
    }

    private static List<Holder> holdersAfter(
            Slice slice, LayoutChange.Transfer move, Duration now) {
        if (move.from() != null && !slice.heldBy(move.from())) {
            throw new IllegalArgumentException(
                    "slice " + slice.number() + " is not held by " + move.from());
        }
        if (move.to() != null && slice.heldBy(move.to())) {
            throw new IllegalArgumentException(
                    "slice " + slice.number() + " is held by " + move.to() + " already");
        }
        List<Holder> holders = new ArrayList<>();
        for (Holder holder : slice.holders()) {
            if (!holder.node().equals(move.from())) {
                holders.add(holder);
            } else if (move.to() != null) {
                holders.add(new Holder(move.to(), now));
            }
        }
        if (move.from() == null) {
            holders.add(new Holder(move.to(), now));
        }
        if (holders.isEmpty()) {
            throw new IllegalArgumentException(
                    "slice " + slice.number() + " would be left without a holder");
        }
        return holders;
    }

    /** Of slices joined each holder has what it took last. */
    private static List<Holder> latestAcquired(List<Holder> holders, List<Holder> others) {
        return holders.stream()
                .map(
                        holder ->
                                others.stream()
                                        .filter(
                                                other ->
                                                        other.node().equals(holder.node())
                                                                && other.acquiredAt()
                                                                                .compareTo(
                                                                                        holder
                                                                                                .acquiredAt())
                                                                        > 0)
                                        .findFirst()
                                        .orElse(holder))
                .toList();
    }
}
