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

class LayoutPropertiesTest {
    private static final List<String> NODES = List.of("a", "b", "c", "d", "e");

    /** So many random re-cuts of a small layout, each version kept. */
    private static List<Layout> recut(long seed, int steps, long history) {
        Random chance = new Random(seed);
        List<Layout> all = new ArrayList<>(List.of(Layout.initial(4, NODES, 2)));
        int next = 4;
        for (int i = 0; i < steps; i++) {
            Layout layout = all.get(all.size() - 1);
            Slice slice = layout.slices().get(chance.nextInt(layout.slices().size()));
            LayoutChange change =
                    switch (chance.nextInt(3)) {
                        case 0 ->
                                new LayoutChange.Split(
                                        slice.number(),
                                        List.of(
                                                slice.keys().from()
                                                        + 1
                                                        + (long)
                                                                (chance.nextDouble()
                                                                        * (slice.keys().size()
                                                                                - 1))));
                        case 1 ->
                                new LayoutChange.Transfer(
                                        slice.number(),
                                        slice.nodes().get(0),
                                        NODES.get(chance.nextInt(5)));
                        default ->
                                new LayoutChange.Merge(
                                        layout.slices().stream()
                                                .map(Slice::number)
                                                .skip(chance.nextInt(layout.slices().size()))
                                                .limit(2)
                                                .toList());
                    };
            try {
                List<Integer> births = new ArrayList<>();
                for (int j = 0; j < change.newSliceCount(); j++) {
                    births.add(next++);
                }
                all.add(
                        layout.withChange(
                                change,
                                births,
                                layout.version + 1 + chance.nextInt(2),
                                Duration.ofSeconds(i + 1),
                                history));
            } catch (IllegalArgumentException e) {
                // Not every change is possible: then nothing has changed.
            }
        }
        return all;
    }

    @Property(tries = 200, seed = "1")
    void anyRecutsKeepTheKeySpaceCoveredOnce(
            @ForAll long seed, @ForAll @IntRange(max = 40) int steps) {
        for (Layout layout : recut(seed, steps, 1000)) {
            assertTrue(
                    Coverage.firstProblem(layout.slices().stream().map(Slice::keys).toList())
                            .isEmpty());
        }
    }

    @Property(tries = 200, seed = "1")
    void lineageIsComplete(@ForAll long seed, @ForAll @IntRange(max = 40) int steps) {
        List<Layout> all = recut(seed, steps, 1000);
        Layout last = all.get(all.size() - 1);
        for (Layout layout : all) {
            for (Slice slice : layout.slices()) {
                assertEquals(slice.keys(), last.keysOf(slice.number(), layout.version));
            }
        }
        Map<Integer, KeyRange> keys = new HashMap<>();
        last.slices().forEach(slice -> keys.put(slice.number(), slice.keys()));
        last.retiredSlices().forEach(old -> keys.put(old.number(), old.keys()));
        for (RetiredSlice old : last.retiredSlices()) {
            long held =
                    old.children().stream()
                            .map(keys::get)
                            .filter(old.keys()::overlaps)
                            .mapToLong(child -> old.keys().intersection(child).size())
                            .sum();
            assertEquals(
                    old.keys().size(),
                    held,
                    "what came of slice " + old.number() + " holds all of it");
        }
    }

    /**
     * There: the fragments hold the keys asked for, once. Back: each finds the slices that it was
     * named by.
     */
    @Property(tries = 200, seed = "1")
    void translationIsExactThereAndBack(@ForAll long seed, @ForAll @IntRange(max = 40) int steps) {
        List<Layout> all = recut(seed, steps, 1000);
        Layout last = all.get(all.size() - 1);
        Layout named = all.get(new Random(seed).nextInt(all.size()));
        List<Fragment> fragments = new ArrayList<>();
        List<LayoutCompleteness.RequestedSlice> names = new ArrayList<>();
        long size = 0;
        for (Slice slice : named.slices()) {
            if ((slice.number() + seed) % 3 != 0) {
                fragments.addAll(Fragment.split(last, last.keysOf(slice.number(), named.version)));
                names.add(
                        new LayoutCompleteness.RequestedSlice(
                                slice.number(), slice.keys(), 1 + slice.number() % 7, null));
                size += slice.keys().size();
            }
        }
        List<Fragment> joined = Fragment.merged(fragments);
        assertEquals(size, joined.stream().mapToLong(one -> one.keys().size()).sum());
        LayoutCompleteness completeness =
                new LayoutCompleteness(named.version, names, () -> last, true);
        assertEquals(
                names.stream().mapToDouble(LayoutCompleteness.RequestedSlice::weight).sum(),
                joined.stream().mapToDouble(one -> completeness.weightOf(one.keys())).sum(),
                1e-6);
        for (LayoutCompleteness.RequestedSlice name : names) {
            List<Fragment> of =
                    joined.stream()
                            .filter(
                                    one ->
                                            completeness
                                                    .requestedSlicesIn(one.keys())
                                                    .contains(name.slice()))
                            .toList();
            assertEquals(
                    name.keys().size(),
                    of.stream()
                            .mapToLong(one -> one.keys().intersection(name.keys()).size())
                            .sum());
        }
        for (int i = 0; i < joined.size(); i++) {
            Fragment one = joined.get(i);
            assertTrue(last.slice(one.slice()).keys().contains(one.keys()));
            if (i > 0) {
                assertTrue(joined.get(i - 1).keys().to() <= one.keys().from());
            }
        }
    }

    @Property(tries = 100, seed = "1")
    void versionsBeyondTheHistoryAreForgottenCompletely(@ForAll long seed) {
        List<Layout> all = recut(seed, 40, 5);
        Layout last = all.get(all.size() - 1);
        assertTrue(last.version - last.oldestVersion <= 6);
        for (Layout layout : all) {
            if (layout.version >= last.oldestVersion) {
                layout.slices()
                        .forEach(
                                slice ->
                                        assertEquals(
                                                slice.keys(),
                                                last.keysOf(slice.number(), layout.version)));
            }
        }
        last.retiredSlices().forEach(old -> assertTrue(old.retiredVersion() > last.oldestVersion));
    }

    @Property(tries = 100, seed = "1")
    void thePlannerReachesAnyTarget(@ForAll long seed, @ForAll @IntRange(max = 30) int steps) {
        List<Layout> from = recut(seed, steps, 10);
        List<Layout> to = recut(seed + 1, steps, 10);
        Layout layout = from.get(from.size() - 1);
        TargetLayout targetLayout =
                new TargetLayout(
                        to.get(to.size() - 1).slices().stream()
                                .map(
                                        slice ->
                                                new TargetLayout.DesiredSlice(
                                                        slice.keys(), slice.nodes()))
                                .toList());
        int next = 10_000;
        for (int i = 0; i < 500; i++) {
            List<LayoutChange> changes =
                    Planner.nextChanges(layout, targetLayout, java.util.Set.of());
            if (changes.isEmpty()) {
                break;
            }
            for (LayoutChange change : changes) {
                List<Integer> births = new ArrayList<>();
                for (int j = 0; j < change.newSliceCount(); j++) {
                    births.add(next++);
                }
                layout = layout.withChange(change, births, layout.version + 1, Duration.ZERO, 10);
            }
        }
        assertEquals(
                targetLayout.slices().stream().map(TargetLayout.DesiredSlice::keys).toList(),
                layout.slices().stream().map(Slice::keys).toList());
        for (int i = 0; i < targetLayout.slices().size(); i++) {
            assertEquals(
                    java.util.Set.copyOf(targetLayout.slices().get(i).nodes()),
                    java.util.Set.copyOf(layout.slices().get(i).nodes()));
        }
    }
}
