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
 * One version of the slices and their holders, with the slices that were split or merged in the
 * versions before. The slices cover the key space exactly once: {@link #validated} checks input
 * from outside, and {@link #withChange} keeps the property. Immutable.
 */
public final class Layout {
    /** The version number; at least 1. */
    public final long version;

    /** The oldest version whose slices this layout can still resolve. */
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
     * Creates a layout from unchecked input.
     *
     * @throws IllegalArgumentException if the layout is invalid; the message names the problem
     */
    public static Layout validated(
            long version, long oldestVersion, List<Slice> slices, List<RetiredSlice> retired) {
        if (version < 1 || oldestVersion < 0 || oldestVersion > version) {
            throw new IllegalArgumentException(
                    "invalid layout version "
                            + version
                            + " with oldest version "
                            + oldestVersion
                            + ": expected version >= 1 and 0 <= oldest <= version");
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
            throw new IllegalArgumentException("slice " + number + " is listed twice");
        }
    }

    private static void requireValid(Slice slice, long version) {
        if (slice.holders().isEmpty()
                || new HashSet<>(slice.nodes()).size() < slice.holders().size()) {
            throw new IllegalArgumentException(
                    "slice "
                            + slice.number()
                            + " must have at least one holder, and no node twice: "
                            + slice.holders().size()
                            + " holders on "
                            + new HashSet<>(slice.nodes()).size()
                            + " nodes");
        }
        if (slice.createdVersion() > version) {
            throw new IllegalArgumentException(
                    "slice "
                            + slice.number()
                            + " was created in version "
                            + slice.createdVersion()
                            + ", after layout version "
                            + version);
        }
    }

    private static void requireValid(RetiredSlice slice, long version) {
        if (slice.createdVersion() >= slice.retiredVersion() || slice.retiredVersion() > version) {
            throw new IllegalArgumentException(
                    "retired slice "
                            + slice.number()
                            + " was created in version "
                            + slice.createdVersion()
                            + " and retired in version "
                            + slice.retiredVersion()
                            + ": expected created < retired <= layout version "
                            + version);
        }
    }

    /**
     * Version 1 of a layout: slices of equal size, whose holders are assigned round-robin.
     *
     * @param holderCount holders of each slice; fewer if there are fewer nodes
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

    /** The slices in key order. */
    public List<Slice> slices() {
        return slices;
    }

    /** The slice with this number; null if this version has none. */
    public Slice slice(int number) {
        return byNumber.get(number);
    }

    /** The slices that were split or merged after the oldest version. */
    public Collection<RetiredSlice> retiredSlices() {
        return retiredSlices.values();
    }

    /**
     * The keys that a slice had in a version between {@link #oldestVersion} and this one; null if
     * that version had no such slice.
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

    /** The slices that have any of these keys, in key order. */
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

    /** The mean number of holders of a slice, rounded up; at least 1. */
    public int meanHolders() {
        int holders = slices.stream().mapToInt(slice -> slice.holders().size()).sum();
        return Math.max(1, (holders + slices.size() - 1) / slices.size());
    }

    // ---- the next version

    /**
     * The same slices and holders under a higher version. After a rollback, it allows old holders
     * that were fenced to serve their slices again.
     */
    public Layout withVersion(long newVersion) {
        requireHigherVersion(newVersion);
        return new Layout(newVersion, oldestVersion, slices, retiredSlices.values());
    }

    /**
     * The layout with a change, under a higher version.
     *
     * @param newSliceNumbers the numbers of the slices that the change creates
     * @param acquiredAt when a new holder acquires its slice, as a duration since the Unix epoch
     * @param historyVersions how many versions back slices can still be resolved
     * @throws IllegalArgumentException if the change can't be made; the message says why
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
                    change
                            + " creates "
                            + ranges.size()
                            + " slices, but "
                            + newSliceNumbers.size()
                            + " slice numbers are given");
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
                    "layout version " + newVersion + " is not above " + version);
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
     * The key ranges of the slices that a change creates, in key order; empty for a transfer.
     *
     * @throws IllegalArgumentException if the change can't be made
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
                        "slice "
                                + split.slice()
                                + " (keys "
                                + keys
                                + ") can't be cut at "
                                + cut
                                + ": a cut must be above "
                                + from
                                + " and below "
                                + keys.to());
            }
            ranges.add(new KeyRange(from, cut));
            from = cut;
        }
        if (ranges.isEmpty()) {
            throw new IllegalArgumentException(
                    "a split of slice " + split.slice() + " needs at least one cut, got none");
        }
        ranges.add(new KeyRange(from, keys.to()));
        return ranges;
    }

    private KeyRange mergedRange(LayoutChange.Merge merge) {
        List<Integer> numbers = merge.slices();
        if (numbers.size() < 2) {
            throw new IllegalArgumentException(
                    "a merge needs at least two slices, got " + numbers.size());
        }
        Slice first = requireSlice(numbers.get(0));
        Set<String> nodes = new HashSet<>(first.nodes());
        KeyRange keys = first.keys();
        for (int number : numbers.subList(1, numbers.size())) {
            Slice next = requireSlice(number);
            if (keys.to() != next.keys().from()) {
                throw new IllegalArgumentException(
                        "slices " + numbers + " are not adjacent in key order");
            }
            if (!new HashSet<>(next.nodes()).equals(nodes)) {
                throw new IllegalArgumentException(
                        "slices "
                                + first.number()
                                + " and "
                                + number
                                + " are held by different nodes: move them together first");
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

    /** The holders of a merged slice: each acquired it when it acquired the last merged slice. */
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
