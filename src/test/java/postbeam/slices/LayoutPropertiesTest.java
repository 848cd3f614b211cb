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
        List<Layout> all = new ArrayList<>(List.of(Layout.first(4, NODES, 2)));
        int next = 4;
        for (int i = 0; i < steps; i++) {
            Layout layout = all.get(all.size() - 1);
            Slice slice = layout.slices().get(chance.nextInt(layout.slices().size()));
            Change change =
                    switch (chance.nextInt(3)) {
                        case 0 ->
                                new Change.Split(
                                        slice.number(),
                                        List.of(
                                                slice.keys().from()
                                                        + 1
                                                        + (long)
                                                                (chance.nextDouble()
                                                                        * (slice.keys().size()
                                                                                - 1))));
                        case 1 ->
                                new Change.Move(
                                        slice.number(),
                                        slice.nodes().get(0),
                                        NODES.get(chance.nextInt(5)));
                        default ->
                                new Change.Merge(
                                        layout.slices().stream()
                                                .map(Slice::number)
                                                .skip(chance.nextInt(layout.slices().size()))
                                                .limit(2)
                                                .toList());
                    };
            try {
                List<Integer> births = new ArrayList<>();
                for (int j = 0; j < change.births(); j++) {
                    births.add(next++);
                }
                all.add(
                        layout.after(
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
                    Coverage.problem(layout.slices().stream().map(Slice::keys).toList()).isEmpty());
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
        last.retired().forEach(old -> keys.put(old.number(), old.keys()));
        for (Retired old : last.retired()) {
            long held =
                    old.children().stream()
                            .map(keys::get)
                            .filter(old.keys()::meets)
                            .mapToLong(child -> old.keys().common(child).size())
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
        List<Pin.Named> names = new ArrayList<>();
        long size = 0;
        for (Slice slice : named.slices()) {
            if ((slice.number() + seed) % 3 != 0) {
                fragments.addAll(Fragment.cut(last, last.keysOf(slice.number(), named.version)));
                names.add(
                        new Pin.Named(slice.number(), slice.keys(), 1 + slice.number() % 7, null));
                size += slice.keys().size();
            }
        }
        List<Fragment> joined = Fragment.joined(fragments);
        assertEquals(size, joined.stream().mapToLong(one -> one.keys().size()).sum());
        Pin pin = new Pin(named.version, names, () -> last, true);
        assertEquals(
                names.stream().mapToDouble(Pin.Named::weight).sum(),
                joined.stream().mapToDouble(one -> pin.weightOf(one.keys())).sum(),
                1e-6);
        for (Pin.Named name : names) {
            List<Fragment> of =
                    joined.stream()
                            .filter(one -> pin.namesOf(one.keys()).contains(name.slice()))
                            .toList();
            assertEquals(
                    name.keys().size(),
                    of.stream().mapToLong(one -> one.keys().common(name.keys()).size()).sum());
        }
        for (int i = 0; i < joined.size(); i++) {
            Fragment one = joined.get(i);
            assertTrue(last.slice(one.slice()).keys().holds(one.keys()));
            if (i > 0) {
                assertTrue(joined.get(i - 1).keys().to() <= one.keys().from());
            }
        }
    }

    @Property(tries = 100, seed = "1")
    void versionsFurtherBackThanTheHistoryAreForgottenWhole(@ForAll long seed) {
        List<Layout> all = recut(seed, 40, 5);
        Layout last = all.get(all.size() - 1);
        assertTrue(last.version - last.oldest <= 6);
        for (Layout layout : all) {
            if (layout.version >= last.oldest) {
                layout.slices()
                        .forEach(
                                slice ->
                                        assertEquals(
                                                slice.keys(),
                                                last.keysOf(slice.number(), layout.version)));
            }
        }
        last.retired().forEach(old -> assertTrue(old.diedIn() > last.oldest));
    }

    @Property(tries = 100, seed = "1")
    void thePlannerReachesAnyTarget(@ForAll long seed, @ForAll @IntRange(max = 30) int steps) {
        List<Layout> from = recut(seed, steps, 10);
        List<Layout> to = recut(seed + 1, steps, 10);
        Layout layout = from.get(from.size() - 1);
        Target target =
                new Target(
                        to.get(to.size() - 1).slices().stream()
                                .map(slice -> new Target.Wanted(slice.keys(), slice.nodes()))
                                .toList());
        int next = 10_000;
        for (int i = 0; i < 500; i++) {
            List<Change> changes = Planner.next(layout, target, java.util.Set.of());
            if (changes.isEmpty()) {
                break;
            }
            for (Change change : changes) {
                List<Integer> births = new ArrayList<>();
                for (int j = 0; j < change.births(); j++) {
                    births.add(next++);
                }
                layout = layout.after(change, births, layout.version + 1, Duration.ZERO, 10);
            }
        }
        assertEquals(
                target.slices().stream().map(Target.Wanted::keys).toList(),
                layout.slices().stream().map(Slice::keys).toList());
        for (int i = 0; i < target.slices().size(); i++) {
            assertEquals(
                    java.util.Set.copyOf(target.slices().get(i).nodes()),
                    java.util.Set.copyOf(layout.slices().get(i).nodes()));
        }
    }
}
