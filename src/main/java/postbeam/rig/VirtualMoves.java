package postbeam.rig;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import postbeam.layouts.RecordForm;
import postbeam.roster.Entry;
import postbeam.slices.Act;
import postbeam.slices.Book;
import postbeam.slices.Change;
import postbeam.slices.Coordinator;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.Logged;
import postbeam.slices.Move;
import postbeam.slices.MoveLimits;
import postbeam.slices.Slice;
import postbeam.slices.Target;
import postbeam.state.Readiness;

/**
 * The one who moves slices, on the jumping clock: dies at a record or at any time, and comes back
 * from its log.
 */
final class VirtualMoves {
    static final MoveLimits LIMITS =
            new MoveLimits(
                    4,
                    4,
                    4,
                    Duration.ofMillis(1500),
                    Duration.ofSeconds(2),
                    Duration.ofMillis(500),
                    Duration.ofMillis(100),
                    2,
                    2);
    private static final long HISTORY = 12;
    private static final Duration LOOK = Duration.ofMillis(20);
    private static final double LOST_MESSAGES = 0.05;

    private final World world;

    /** What is on disk. */
    private final List<byte[]> records = new ArrayList<>();

    private final Map<String, Map<KeyRange, Boolean>> runs = new HashMap<>();
    private Coordinator coordinator;
    private Map<String, Target.Known> list = new LinkedHashMap<>();
    private final Map<String, Long> startedMicros = new HashMap<>();
    private long listVersion;
    private int life;

    /** Records that it may still write before it dies; below 0: as many as it likes. */
    private int recordsLeft = -1;

    private Duration awayFor = Duration.ZERO;
    private int begun;
    private int cut;
    private int abandoned;

    VirtualMoves(World world, Layout first) {
        this.world = world;
        records.add(
                RecordForm.write(
                        new Logged.Whole(
                                first,
                                first.version,
                                0,
                                first.slices().size() - 1,
                                List.of(),
                                null,
                                List.of())));
    }

    void start() {
        Book book = new Book(HISTORY);
        for (byte[] record : records) {
            try {
                book.apply(RecordForm.read(record));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        coordinator = new Coordinator(book, LIMITS);
        coordinator.listed(list, List.of());
        world.published(book.layout());
        int now = ++life;
        world.after(LOOK, () -> look(now));
    }

    private void look(int mine) {
        if (mine != life) {
            return;
        }
        carryOut(coordinator.tick(world.now()));
        world.after(LOOK, () -> look(mine));
    }

    private void carryOut(List<Act> acts) {
        for (Act act : acts) {
            if (act instanceof Act.Write write) {
                records.add(RecordForm.write(write.record()));
                cut += write.record() instanceof Logged.CutOver ? 1 : 0;
                abandoned += write.record() instanceof Logged.Back ? 1 : 0;
                if (recordsLeft > 0 && --recordsLeft == 0) {
                    recordsLeft = -1;
                    crash(awayFor);
                    return;
                }
            } else if (act instanceof Act.Tell tell) {
                tell(tell);
            } else if (act instanceof Act.Publish publish) {
                world.published(publish.layout());
            }
        }
    }

    private void tell(Act.Tell tell) {
        if (world.troubled() && world.with(LOST_MESSAGES)) {
            return;
        }
        int mine = life;
        world.hop(
                () ->
                        world.node(tell.node())
                                .ordered(
                                        tell,
                                        () -> {
                                            if (mine == life
                                                    && !(world.troubled()
                                                            && world.with(LOST_MESSAGES))) {
                                                coordinator.done(
                                                        tell.move(),
                                                        tell.node(),
                                                        tell.order(),
                                                        tell.slice());
                                            }
                                        }));
    }

    void listed(long version, List<Entry> entries) {
        if (version < listVersion) {
            return;
        }
        listVersion = version;
        List<String> started =
                entries.stream()
                        .filter(
                                entry -> {
                                    Long before =
                                            startedMicros.put(entry.name(), entry.startedMicros());
                                    return before != null && before != entry.startedMicros();
                                })
                        .map(Entry::name)
                        .toList();
        list = new LinkedHashMap<>();
        entries.forEach(
                entry -> list.put(entry.name(), new Target.Known(entry.zone(), entry.readiness())));
        if (coordinator != null) {
            coordinator.listed(list, started);
        }
    }

    /**
     * Whether the keys of a deduplicated query have run anywhere: what nodes hand over with a
     * slice, reckoned in one.
     */
    boolean repeated(String query, KeyRange keys) {
        Map<KeyRange, Boolean> ran = runs.computeIfAbsent(query, key -> new LinkedHashMap<>());
        boolean before = ran.keySet().stream().anyMatch(keys::meets);
        ran.put(keys, true);
        return before;
    }

    // ---- what operators do

    void recut() {
        if (coordinator == null) {
            return;
        }
        Layout layout = coordinator.book().layout();
        List<Slice> slices = layout.slices();
        int at = world.chance.nextInt(slices.size());
        Slice slice = slices.get(at);
        List<String> ready = world.ready();
        Change change;
        int kind = world.chance.nextInt(slices.size() > 3 * world.plan.slices() ? 2 : 3);
        if (kind == 2 && slice.keys().size() > 1000) {
            change = new Change.Split(slice.number(), List.of(world.within(slice.keys())));
        } else if (kind == 1 && at + 1 < slices.size()) {
            change = new Change.Merge(List.of(slice.number(), slices.get(at + 1).number()));
        } else if (ready.isEmpty()) {
            return;
        } else {
            change =
                    new Change.Move(
                            slice.number(),
                            slice.nodes().get(world.chance.nextInt(slice.nodes().size())),
                            ready.get(world.chance.nextInt(ready.size())));
        }
        // Now and then an operator takes a node that is gone for dead.
        List<Change> mends = world.with(0.3) ? coordinator.mends() : List.of();
        if (!mends.isEmpty()) {
            begun++;
            carryOut(coordinator.plan(mends.get(0), world.now()));
        } else if (coordinator.problem(change).isEmpty()) {
            begun++;
            carryOut(coordinator.plan(change, world.now()));
        } else if (change instanceof Change.Merge merge) {
            // Neighbours that other nodes hold are first brought together.
            Slice other = slices.get(at + 1);
            for (String node : slice.nodes()) {
                String off =
                        other.nodes().stream()
                                .filter(held -> !slice.heldBy(held))
                                .findFirst()
                                .orElse(null);
                Change near =
                        other.heldBy(node) || off == null
                                ? null
                                : new Change.Move(other.number(), off, node);
                if (near != null && coordinator.problem(near).isEmpty()) {
                    begun++;
                    carryOut(coordinator.plan(near, world.now()));
                    return;
                }
            }
        }
    }

    void abandonOne() {
        if (coordinator == null) {
            return;
        }
        List<Move> moves =
                coordinator.book().moves().stream()
                        .filter(move -> move.why == null && !move.turnsBack)
                        .toList();
        if (!moves.isEmpty()) {
            Move move = moves.get(world.chance.nextInt(moves.size()));
            carryOut(coordinator.abandon(move.id, "an operator's wish", world.now()));
        }
    }

    // ---- troubles

    /** Dies now, and comes back from its log after this time. */
    void crash(Duration away) {
        if (coordinator == null) {
            return;
        }
        life++;
        coordinator = null;
        world.after(
                away,
                () -> {
                    if (coordinator == null) {
                        start();
                    }
                });
    }

    /** Dies right after so many records more are on disk, before it does what they are about. */
    void crashAtARecord(int count, Duration away) {
        recordsLeft = count;
        awayFor = away;
    }

    void recover() {
        recordsLeft = -1;
        if (coordinator == null) {
            start();
        }
    }

    int cut() {
        return cut;
    }

    int abandoned() {
        return abandoned;
    }

    int begun() {
        return begun;
    }

    /** What has not come to rest long after the last trouble. */
    List<String> unsettled() {
        List<String> found = new ArrayList<>();
        for (Move move : coordinator.book().moves()) {
            found.add("progress: " + move + " does not end");
        }
        for (Slice slice : coordinator.book().layout().slices()) {
            for (String node : slice.nodes()) {
                if (world.node(node).readiness == Readiness.READY
                        && !world.node(node).serves(slice.number())) {
                    found.add(
                            "progress: node "
                                    + node
                                    + " does not serve slice "
                                    + slice.number()
                                    + " which the layout gives it");
                }
            }
        }
        return found;
    }
}
