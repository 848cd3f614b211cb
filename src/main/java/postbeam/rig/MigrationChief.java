package postbeam.rig;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import postbeam.errors.ExplainedException;
import postbeam.layouts.RecordForm;
import postbeam.migration.Doing;
import postbeam.migration.Migration;
import postbeam.migration.MigrationBook;
import postbeam.migration.MigrationLimits;
import postbeam.migration.Migrations;
import postbeam.slices.Act;
import postbeam.slices.Book;
import postbeam.slices.Coordinator;
import postbeam.slices.Layout;
import postbeam.slices.Logged;
import postbeam.slices.Move;
import postbeam.slices.MoveLimits;
import postbeam.slices.Order;
import postbeam.slices.Target;
import postbeam.state.Readiness;

/**
 * One coordinator's process on the jumping clock: dies at a record, is stopped and woken, and has a
 * successor.
 */
final class MigrationChief {
    static final MoveLimits MOVES =
            new MoveLimits(
                    4,
                    4,
                    8,
                    Duration.ofMillis(1500),
                    Duration.ofSeconds(2),
                    Duration.ZERO,
                    Duration.ofMillis(60),
                    2,
                    1);
    static final MigrationLimits LIMITS =
            new MigrationLimits(
                    2,
                    2,
                    20,
                    100_000,
                    Duration.ofMillis(1500),
                    Duration.ofMillis(400),
                    Duration.ofMillis(500),
                    0.9,
                    Duration.ofMillis(40),
                    3,
                    1L << 40,
                    Duration.ofMillis(600),
                    Duration.ofMillis(20));
    private static final Duration LOOK = Duration.ofMillis(20);

    /** A record and the term that it was written in, as they stand in the log. */
    record Stored(long term, byte[] bytes) {}

    /** Thrown where the process ends in the middle of what it does. */
    private static final class Ended extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    final Coordinator coordinator;
    final Migrations migrations;
    private final MigrationWorld world;
    private final MigrationBook book = new MigrationBook();
    private final long term;

    /** Records in the log when it last looked: a longer one has another owner. */
    private int seen;

    private boolean dead;
    private boolean stopped;
    private final Deque<Runnable> whileStopped = new ArrayDeque<>();
    private final Map<String, Duration> lastTold = new HashMap<>();

    MigrationChief(MigrationWorld world) {
        this.world = world;
        Book moves = new Book(50);
        moves.others(book);
        for (Stored stored : world.log) {
            Logged record = read(stored);
            if (stored.term == 0 || stored.term >= moves.term()) {
                moves.apply(record);
            }
        }
        coordinator = new Coordinator(moves, MOVES);
        migrations = MigrationTrial.planted(world.defect, coordinator, book, world.now);
        term = moves.term() + 1;
        Logged.Office office = new Logged.Office(term);
        moves.apply(office);
        world.log.add(new Stored(term, RecordForm.write(office, term)));
        seen = world.log.size();
        coordinator.listed(list(), List.of());
        world.after(LOOK, this::look);
    }

    private static Logged read(Stored stored) {
        try {
            return RecordForm.read(stored.bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Map<String, Target.Known> list() {
        Map<String, Target.Known> list = new LinkedHashMap<>();
        world.nodes.forEach(
                node ->
                        list.put(
                                node.name,
                                new Target.Known(
                                        "z",
                                        world.gone.contains(node.name)
                                                ? Readiness.GONE
                                                : Readiness.READY)));
        return list;
    }

    boolean works() {
        return !dead && !stopped;
    }

    boolean dead() {
        return dead;
    }

    private void look() {
        if (dead) {
            return;
        }
        happens(
                () -> {
                    carryOut(migrations.tick(world.now));
                    List<Doing> moves = new ArrayList<>();
                    coordinator.tick(world.now).forEach(act -> moves.add(new Doing.Of(act)));
                    carryOut(moves);
                });
        world.after(LOOK, this::look);
    }

    /** Something comes to it: at once, later where it is stopped, never where it is dead. */
    private void happens(Runnable what) {
        if (dead) {
            return;
        }
        if (stopped) {
            if (whileStopped.size() < 64) {
                whileStopped.add(what);
            }
            return;
        }
        try {
            what.run();
        } catch (Ended e) {
            dead = true;
        }
    }

    private void carryOut(List<Doing> doings) {
        for (Doing doing : doings) {
            if (doing instanceof Doing.Ask ask) {
                if (!world.lost()) {
                    world.hop(
                            () ->
                                    world.node(ask.node())
                                            .asked(
                                                    ask,
                                                    said ->
                                                            happens(
                                                                    () ->
                                                                            migrations.answered(
                                                                                    ask.number(),
                                                                                    ask.node(),
                                                                                    said,
                                                                                    world.now))));
                }
            } else if (doing instanceof Doing.Of of && of.act() instanceof Act.Write write) {
                write(write.record());
            } else if (doing instanceof Doing.Of of && of.act() instanceof Act.Tell tell) {
                tell(tell);
            }
            // A layout is told to routers when they ask.
        }
    }

    private void write(Logged record) {
        Stored stored = new Stored(term, RecordForm.write(record, term));
        if (world.log.size() != seen) {
            // It may have looked just before the successor wrote: then its record slips in behind.
            if (world.with(0.5)) {
                world.log.add(stored);
                world.slipped++;
            }
            throw new Ended();
        }
        world.log.add(stored);
        seen = world.log.size();
        world.written(this, record);
        if (world.recordsLeft > 0 && --world.recordsLeft == 0) {
            world.killedAtRecord(record);
            throw new Ended();
        }
    }

    private void tell(Act.Tell tell) {
        if (world.lost()) {
            return;
        }
        // One connection a node: what was told first comes first.
        Duration at = world.now.plus(Duration.ofMillis(1)).plus(world.upTo(Duration.ofMillis(2)));
        Duration last = lastTold.get(tell.node());
        at = last != null && last.compareTo(at) > 0 ? last : at;
        lastTold.put(tell.node(), at);
        boolean keepsOld =
                world.defect == MigrationTrial.Defect.ROLLBACK_LOSES
                        && tell.order() == Order.COPY
                        && goesBack(tell.move());
        world.after(
                at.minus(world.now),
                () ->
                        world.node(tell.node())
                                .ordered(
                                        tell,
                                        term,
                                        keepsOld,
                                        said -> {
                                            if (!world.lost()) {
                                                happens(
                                                        () -> {
                                                            if (said.equals("stale")) {
                                                                throw new Ended();
                                                            }
                                                            coordinator.done(
                                                                    tell.move(),
                                                                    tell.node(),
                                                                    tell.order(),
                                                                    tell.slice());
                                                        });
                                            }
                                        }));
    }

    private boolean goesBack(long id) {
        Move move = coordinator.book().move(id);
        Migration one = move == null ? null : book.owning(move.change.slices().get(0));
        return one != null && move.change.equals(one.hop(move.change.slices().get(0)).back());
    }

    // ---- what comes to it

    void listed(MigrationNode node, boolean up) {
        happens(
                () -> {
                    coordinator.listed(list(), up ? List.of(node.name) : List.of());
                    if (up) {
                        carryOut(migrations.started(List.of(node.name), world.now));
                    }
                });
    }

    /** A router asks for the layout; null where nothing answers. */
    Layout asked(String router, long version) {
        if (!works()) {
            return null;
        }
        migrations.routers().asked(router, version, world.now);
        Layout layout = coordinator.book().layout();
        migrations.routers().answered(router, layout.version, world.now);
        return layout;
    }

    /** An operator's order; the error where it was refused, else null. */
    ExplainedException ordered(
            java.util.function.Function<Migrations, MigrationTrial.Ordered> order) {
        ExplainedException[] refused = new ExplainedException[1];
        happens(
                () -> {
                    try {
                        carryOut(order.apply(migrations).give());
                    } catch (ExplainedException e) {
                        refused[0] = e;
                    }
                });
        return refused[0];
    }

    // ---- troubles

    void kill() {
        dead = true;
    }

    void stop() {
        stopped = true;
    }

    /** Goes on where it was: what had come to it meanwhile comes now. */
    void wake() {
        stopped = false;
        while (!whileStopped.isEmpty()) {
            happens(whileStopped.poll());
        }
    }
}
