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
 * One version of which slices there are and who holds them, with the slices that were replaced in
 * the versions before. It covers the key space exactly once, by construction: {@link #validated} is
 * the only way to one from outside, {@link #withChange} the only way on. Immutable.
 */
public final class Layout {
    /** The version's number, from 1. */
    public final long version;

    /** The oldest version whose slices it still knows. */
    public final long oldestVersion;

    private final List<Slice> slices;
    private final Map<Integer, Slice> byNumber = new LinkedHashMap<>();
    private final Map<Integer, RetiredSlice> retiredSlices = new LinkedHashMap<>();

    private Layout(
            long version,
            long oldestVersion,
            List<Slice> slices,
            Collection<RetiredSlice> retired) {
        this.version = version;
        this.oldestVersion = oldestVersion;
        this.slices = List.copyOf(slices);
        slices.forEach(slice -> byNumber.put(slice.number(), slice));
        retired.stream()
                .filter(slice -> slice.retiredVersion() > oldestVersion)
                .forEach(slice -> retiredSlices.put(slice.number(), slice));
    }

    // ---- creation

    /**
     * A layout from outside.
     *
     * @throws IllegalArgumentException it is none; the message names what is wrong with it
     */
    public static Layout validated(
            long version, long oldestVersion, List<Slice> slices, List<RetiredSlice> retired) {
        if (version < 1 || oldestVersion < 0 || oldestVersion > version) {
            throw new IllegalArgumentException(
                    "versions can't be used: " + version + ", oldest " + oldestVersion);
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
            requireUniqueNumber(slice.number(), numbers);
            requireValid(slice, version);
        }
        for (RetiredSlice slice : retired) {
            requireUniqueNumber(slice.number(), numbers);
            requireValid(slice, version);
        }
        return new Layout(version, oldestVersion, sorted, retired);
    }

    private static void requireUniqueNumber(int number, Set<Integer> numbers) {
        if (!numbers.add(number)) {
            throw new IllegalArgumentException("slice " + number + " stands there twice");
        }
    }

    private static void requireValid(Slice slice, long version) {
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

    private static void requireValid(RetiredSlice slice, long version) {
        if (slice.createdVersion() >= slice.retiredVersion() || slice.retiredVersion() > version) {
            throw new IllegalArgumentException(
                    "retired slice " + slice.number() + " has ages that can't be");
        }
    }

    /**
     * The first layout: slices of even size, each with so many of the nodes as holders, in turn.
     */
    public static Layout initial(int sliceCount, List<String> nodes, int holderCount) {
        long size = KeyRange.KEY_SPACE_SIZE / sliceCount;
        List<Slice> slices = new ArrayList<>();
        for (int i = 0; i < sliceCount; i++) {
            List<Holder> holders = new ArrayList<>();
            for (int j = 0; j < Math.min(holderCount, nodes.size()); j++) {
                holders.add(new Holder(nodes.get((i + j) % nodes.size()), Duration.ZERO));
            }
            boolean last = i + 1 == sliceCount;
            KeyRange keys = new KeyRange(size * i, last ? KeyRange.KEY_SPACE_SIZE : size * (i + 1));
            slices.add(new Slice(i, keys, 1, holders));
        }
        return validated(1, 1, slices, List.of());
    }

    // ---- slices

    /** The slices in the order of their keys. */
    public List<Slice> slices() {
        return slices;
    }

    /** The slice of this number; null where this version has none. */
    public Slice slice(int number) {
        return byNumber.get(number);
    }

    /** The slices that were split or merged since the oldest version. */
    public Collection<RetiredSlice> retiredSlices() {
        return retiredSlices.values();
    }

    /**
     * The keys that a slice had in a version between the oldest and this one; null where there was
     * no such slice.
     */
    public KeyRange keysOf(int number, long inVersion) {
        Slice slice = byNumber.get(number);
        if (slice != null) {
            return slice.createdVersion() <= inVersion ? slice.keys() : null;
        }
        RetiredSlice retired = retiredSlices.get(number);
        return retired != null
                        && retired.createdVersion() <= inVersion
                        && inVersion < retired.retiredVersion()
                ? retired.keys()
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

    /** How many nodes hold a slice on average, rounded up; 1 at least. */
    public int meanHolders() {
        int holders = slices.stream().mapToInt(slice -> slice.holders().size()).sum();
        return Math.max(1, (holders + slices.size() - 1) / slices.size());
    }

    // ---- the next version

    /**
     * The same slices under a higher version: what was fenced may be served again by its old
     * holders.
     */
    public Layout withVersion(long newVersion) {
        requireHigherVersion(newVersion);
        return new Layout(newVersion, oldestVersion, slices, retiredSlices.values());
    }

    /**
     * The layout with a change, under a higher version.
     *
     * @param newSliceNumbers the numbers of the slices that the change creates
     * @param acquiredAt when a new holder takes its slice, since 1970
     * @param historyVersions how many versions back slices are still known
     * @throws IllegalArgumentException the change can't be made; the message says why
     */
    public Layout withChange(
            LayoutChange change,
            List<Integer> newSliceNumbers,
            long newVersion,
            Duration acquiredAt,
            long historyVersions) {
        requireHigherVersion(newVersion);
        List<Slice> newSlices = new ArrayList<>(slices);
        List<RetiredSlice> newRetired = new ArrayList<>(retiredSlices.values());
        if (change instanceof LayoutChange.Transfer transfer) {
            Slice slice = requireSlice(transfer.slice());
            newSlices.set(
                    newSlices.indexOf(slice),
                    new Slice(
                            slice.number(),
                            slice.keys(),
                            slice.createdVersion(),
                            holdersAfter(slice, transfer, acquiredAt)));
        } else {
            replaceSlices(change, newSliceNumbers, newVersion, newSlices, newRetired);
        }
        return new Layout(
                newVersion,
                Math.max(oldestVersion, newVersion - historyVersions),
                newSlices,
                newRetired);
    }

    private void replaceSlices(
            LayoutChange change,
            List<Integer> newSliceNumbers,
            long newVersion,
            List<Slice> newSlices,
            List<RetiredSlice> newRetired) {
        List<KeyRange> ranges = newSliceRanges(change);
        if (newSliceNumbers.size() != ranges.size()) {
            throw new IllegalArgumentException(
                    change + " bears " + ranges.size() + " slices, not " + newSliceNumbers.size());
        }
        Slice first = requireSlice(change.slices().get(0));
        int position = newSlices.indexOf(first);
        List<Holder> holders = first.holders();
        for (int number : change.slices()) {
            Slice slice = requireSlice(number);
            newSlices.remove(slice);
            newRetired.add(
                    new RetiredSlice(
                            number,
                            slice.keys(),
                            slice.createdVersion(),
                            newVersion,
                            newSliceNumbers));
            holders = latestAcquired(holders, slice.holders());
        }
        for (int i = 0; i < ranges.size(); i++) {
            newSlices.add(
                    position + i,
                    new Slice(newSliceNumbers.get(i), ranges.get(i), newVersion, holders));
        }
    }

    private void requireHigherVersion(long newVersion) {
        if (newVersion <= version) {
            throw new IllegalArgumentException(
                    "version " + newVersion + " is not above " + version);
        }
    }

    private Slice requireSlice(int number) {
        Slice slice = byNumber.get(number);
        if (slice == null) {
            throw new IllegalArgumentException("there is no slice " + number);
        }
        return slice;
    }

    /**
     * The keys of the slices that a change creates; an IllegalArgumentException where it can't be
     * made.
     */
    List<KeyRange> newSliceRanges(LayoutChange change) {
        if (change instanceof LayoutChange.Split split) {
            return splitRanges(split);
        }
        if (change instanceof LayoutChange.Merge merge) {
            return List.of(mergedRange(merge));
        }
        return List.of();
    }

    private List<KeyRange> splitRanges(LayoutChange.Split split) {
        KeyRange keys = requireSlice(split.slice()).keys();
        List<KeyRange> ranges = new ArrayList<>();
        long from = keys.from();
        for (long cut : split.cuts()) {
            if (cut <= from || cut >= keys.to()) {
                throw new IllegalArgumentException(
                        "slice " + split.slice() + " (keys " + keys + ") can't be cut at " + cut);
            }
            ranges.add(new KeyRange(from, cut));
            from = cut;
        }
        if (ranges.isEmpty()) {
            throw new IllegalArgumentException(
                    "a split of slice " + split.slice() + " without a cut");
        }
        ranges.add(new KeyRange(from, keys.to()));
        return ranges;
    }

    private KeyRange mergedRange(LayoutChange.Merge merge) {
        List<Integer> numbers = merge.slices();
        if (numbers.size() < 2) {
            throw new IllegalArgumentException("a merge takes two slices or more");
        }
        Slice first = requireSlice(numbers.get(0));
        Set<String> nodes = new HashSet<>(first.nodes());
        KeyRange keys = first.keys();
        for (int number : numbers.subList(1, numbers.size())) {
            Slice next = requireSlice(number);
            if (keys.to() != next.keys().from()) {
                throw new IllegalArgumentException(
                        "slices " + numbers + " are no neighbours in order");
            }
            if (!new HashSet<>(next.nodes()).equals(nodes)) {
                throw new IllegalArgumentException(
                        "slices "
                                + first.number()
                                + " and "
                                + number
                                + " are held by other nodes: move them together first");
            }
            keys = keys.joinedWith(next.keys());
        }
        return keys;
    }

    private static List<Holder> holdersAfter(
            Slice slice, LayoutChange.Transfer transfer, Duration acquiredAt) {
        String from = transfer.from();
        String to = transfer.to();
        if (from != null && !slice.heldBy(from)) {
            throw new IllegalArgumentException(
                    "slice " + slice.number() + " is not held by " + from);
        }
        if (to != null && slice.heldBy(to)) {
            throw new IllegalArgumentException(
                    "slice " + slice.number() + " is held by " + to + " already");
        }
        List<Holder> holders = new ArrayList<>();
        for (Holder holder : slice.holders()) {
            if (!holder.node().equals(from)) {
                holders.add(holder);
            } else if (to != null) {
                holders.add(new Holder(to, acquiredAt));
            }
        }
        if (from == null) {
            holders.add(new Holder(to, acquiredAt));
        }
        if (holders.isEmpty()) {
            throw new IllegalArgumentException(
                    "slice " + slice.number() + " would be left without a holder");
        }
        return holders;
    }

    /**
     * Each holder of merged slices has acquired the new slice when it acquired the last of them.
     */
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
