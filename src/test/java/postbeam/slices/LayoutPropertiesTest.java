package postbeam.slices;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Tests properties of layouts, translation and planning over random sequences of changes. */
class LayoutPropertiesTest {
    private static final List<String> NODES = List.of("a", "b", "c", "d", "e");

    /** All versions of a small layout that is changed at random up to {@code steps} times. */
    private static List<Layout> randomLayouts(long seed, int steps, long historyVersions) {
        Random random = new Random(seed);
        List<Layout> layouts = new ArrayList<>(List.of(Layout.initial(4, NODES, 2)));
        int nextSliceNumber = 4;
        for (int i = 0; i < steps; i++) {
            Layout layout = layouts.get(layouts.size() - 1);
            Slice slice = layout.slices().get(random.nextInt(layout.slices().size()));
            LayoutChange change =
                    switch (random.nextInt(3)) {
                        case 0 ->
                                new LayoutChange.Split(
                                        slice.number(),
                                        List.of(
                                                slice.keys().from()
                                                        + 1
                                                        + (long)
                                                                (random.nextDouble()
                                                                        * (slice.keys().size()
                                                                                - 1))));
                        case 1 ->
                                new LayoutChange.Transfer(
                                        slice.number(),
                                        slice.nodes().get(0),
                                        NODES.get(random.nextInt(5)));
                        default ->
                                new LayoutChange.Merge(
                                        layout.slices().stream()
                                                .map(Slice::number)
                                                .skip(random.nextInt(layout.slices().size()))
                                                .limit(2)
                                                .toList());
                    };
            try {
                List<Integer> newSliceNumbers = new ArrayList<>();
                for (int j = 0; j < change.newSliceCount(); j++) {
                    newSliceNumbers.add(nextSliceNumber++);
                }
                layouts.add(
                        layout.withChange(
                                change,
                                newSliceNumbers,
                                layout.version + 1 + random.nextInt(2),
                                Duration.ofSeconds(i + 1),
                                historyVersions));
            } catch (IllegalArgumentException e) {
                // A random change may be invalid; it is skipped then.
            }
        }
        return layouts;
    }

    @Property(tries = 200, seed = "1")
    void randomChangesKeepKeySpaceCoveredExactlyOnce(
            @ForAll long seed, @ForAll @IntRange(max = 40) int steps) {
        for (Layout layout : randomLayouts(seed, steps, 1000)) {
            assertTrue(
                    Coverage.firstProblem(layout.slices().stream().map(Slice::keys).toList())
                            .isEmpty());
        }
    }

    @Property(tries = 200, seed = "1")
    void laterLayoutResolvesAllEarlierSlicesAndTheirChildren(
            @ForAll long seed, @ForAll @IntRange(max = 40) int steps) {
        List<Layout> layouts = randomLayouts(seed, steps, 1000);
        Layout last = layouts.get(layouts.size() - 1);
        for (Layout layout : layouts) {
            for (Slice slice : layout.slices()) {
                assertEquals(slice.keys(), last.keysOf(slice.number(), layout.version));
            }
        }
        Map<Integer, KeyRange> keys = new HashMap<>();
        last.slices().forEach(slice -> keys.put(slice.number(), slice.keys()));
        last.retiredSlices().forEach(retired -> keys.put(retired.number(), retired.keys()));
        for (RetiredSlice retired : last.retiredSlices()) {
            long keysInChildren =
                    retired.children().stream()
                            .map(keys::get)
                            .filter(retired.keys()::overlaps)
                            .mapToLong(child -> retired.keys().intersection(child).size())
                            .sum();
            assertEquals(
                    retired.keys().size(),
                    keysInChildren,
                    "the children of slice " + retired.number() + " cover all its keys");
        }
    }

    /**
     * The fragments cover the requested keys exactly once, and each of them maps back to the slices
     * by which it was requested.
     */
    @Property(tries = 200, seed = "1")
    void translationCoversRequestedKeysExactlyAndMapsBack(
            @ForAll long seed, @ForAll @IntRange(max = 40) int steps) {
        List<Layout> layouts = randomLayouts(seed, steps, 1000);
        Layout last = layouts.get(layouts.size() - 1);
        Layout requestedLayout = layouts.get(new Random(seed).nextInt(layouts.size()));
        List<Fragment> fragments = new ArrayList<>();
        List<LayoutCompleteness.RequestedSlice> requested = new ArrayList<>();
        long requestedKeyCount = 0;
        for (Slice slice : requestedLayout.slices()) {
            if ((slice.number() + seed) % 3 != 0) {
                fragments.addAll(
                        Fragment.split(last, last.keysOf(slice.number(), requestedLayout.version)));
                requested.add(
                        new LayoutCompleteness.RequestedSlice(
                                slice.number(), slice.keys(), 1 + slice.number() % 7, null));
                requestedKeyCount += slice.keys().size();
            }
        }
        List<Fragment> merged = Fragment.merged(fragments);
        assertEquals(
                requestedKeyCount,
                merged.stream().mapToLong(fragment -> fragment.keys().size()).sum());
        LayoutCompleteness completeness =
                new LayoutCompleteness(requestedLayout.version, requested, () -> last, true);
        assertEquals(
                requested.stream().mapToDouble(LayoutCompleteness.RequestedSlice::weight).sum(),
                merged.stream()
                        .mapToDouble(fragment -> completeness.weightOf(fragment.keys()))
                        .sum(),
                1e-6);
        for (LayoutCompleteness.RequestedSlice slice : requested) {
            List<Fragment> fragmentsOfSlice =
                    merged.stream()
                            .filter(
                                    fragment ->
                                            completeness
                                                    .requestedSlicesIn(fragment.keys())
                                                    .contains(slice.slice()))
                            .toList();
            assertEquals(
                    slice.keys().size(),
                    fragmentsOfSlice.stream()
                            .mapToLong(
                                    fragment -> fragment.keys().intersection(slice.keys()).size())
                            .sum());
        }
        for (int i = 0; i < merged.size(); i++) {
            Fragment fragment = merged.get(i);
            assertTrue(last.slice(fragment.slice()).keys().contains(fragment.keys()));
            if (i > 0) {
                assertTrue(merged.get(i - 1).keys().to() <= fragment.keys().from());
            }
        }
    }

    @Property(tries = 100, seed = "1")
    void versionsBeyondHistoryAreNotKept(@ForAll long seed) {
        List<Layout> layouts = randomLayouts(seed, 40, 5);
        Layout last = layouts.get(layouts.size() - 1);
        assertTrue(last.version - last.oldestVersion <= 6);
        for (Layout layout : layouts) {
            if (layout.version >= last.oldestVersion) {
                layout.slices()
                        .forEach(
                                slice ->
                                        assertEquals(
                                                slice.keys(),
                                                last.keysOf(slice.number(), layout.version)));
            }
        }
        last.retiredSlices()
                .forEach(retired -> assertTrue(retired.retiredVersion() > last.oldestVersion));
    }

    @Property(tries = 100, seed = "1")
    void plannerReachesRandomTarget(@ForAll long seed, @ForAll @IntRange(max = 30) int steps) {
        List<Layout> from = randomLayouts(seed, steps, 10);
        List<Layout> to = randomLayouts(seed + 1, steps, 10);
        Layout layout = from.get(from.size() - 1);
        TargetLayout target =
                new TargetLayout(
                        to.get(to.size() - 1).slices().stream()
                                .map(
                                        slice ->
                                                new TargetLayout.DesiredSlice(
                                                        slice.keys(), slice.nodes()))
                                .toList());
        int nextSliceNumber = 10_000;
        for (int i = 0; i < 500; i++) {
            List<LayoutChange> changes = Planner.nextChanges(layout, target, java.util.Set.of());
            if (changes.isEmpty()) {
                break;
            }
            for (LayoutChange change : changes) {
                List<Integer> newSliceNumbers = new ArrayList<>();
                for (int j = 0; j < change.newSliceCount(); j++) {
                    newSliceNumbers.add(nextSliceNumber++);
                }
                layout =
                        layout.withChange(
                                change, newSliceNumbers, layout.version + 1, Duration.ZERO, 10);
            }
        }
        assertEquals(
                target.slices().stream().map(TargetLayout.DesiredSlice::keys).toList(),
                layout.slices().stream().map(Slice::keys).toList());
        for (int i = 0; i < target.slices().size(); i++) {
            assertEquals(
                    java.util.Set.copyOf(target.slices().get(i).nodes()),
                    java.util.Set.copyOf(layout.slices().get(i).nodes()));
        }
    }
}
