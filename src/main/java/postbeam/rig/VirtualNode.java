package postbeam.rig;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import postbeam.slices.Act;
import postbeam.slices.KeyRange;
import postbeam.slices.Order;
import postbeam.state.Outcome;
import postbeam.state.Readiness;

/**
 * A data node that holds slices by version, on the jumping clock: slow, hanging, dying, draining or
 * sound.
 */
final class VirtualNode {
    /** Parts it works on at once, and parts that wait before it turns more away. */
    private static final int CORES = 2;

    private static final int QUEUE = 40;
    private static final Duration WORK = Duration.ofMillis(6);

    /** Answers are sometimes on their way for long: past a fence, a cut and a new version. */
    private static final double LATE_ANSWERS = 0.03;

    private static final Duration LATE_MOST = Duration.ofMillis(900);
    private static final double BAD_ANSWERS = 0.03;

    /** Share of deaths that take the disk along. */
    private static final double LOST_DISKS = 0.1;

    private static final Duration COPY_MOST = Duration.ofMillis(300);

    /** A call that has come, and how its end is told. */
    private record Work(
            String query,
            String part,
            KeyRange keys,
            HeldSlices.Held held,
            boolean repeatsDropped,
            VirtualRouter.Ended ended) {}

    final String name;
    final String zone;
    Readiness readiness = Readiness.READY;
    Duration startedAt;
    private final World world;
    private final HeldSlices held = new HeldSlices();
    private final Deque<Work> waiting = new ArrayDeque<>();
    private final List<Work> working = new ArrayList<>();
    private final Map<Integer, Duration> copies = new HashMap<>();
    private boolean alive = true;
    private boolean hanging;
    private int slowness = 1;

    /** Counts its starts: what was begun before one ends nowhere. */
    private int life;

    VirtualNode(World world, String name, String zone) {
        this.world = world;
        this.name = name;
        this.zone = zone;
    }

    // ---- calls

    /** A frame's part has come whole. */
    void called(
            String query,
            String part,
            int slice,
            KeyRange keys,
            long version,
            boolean repeatsDropped,
            VirtualRouter.Ended ended) {
        if (!alive) {
            world.hop(() -> ended.ended(Outcome.UNREACHABLE, null));
            return;
        }
        world.referee.called(world.now(), name, query, part, keys, version, WORK);
        HeldSlices.Held one = held.take(slice, version, keys);
        if (one == null
                || waiting.size() >= QUEUE
                || readiness == Readiness.DRAINING && world.with(0.5)) {
            if (one != null) {
                held.over(one);
            }
            world.referee.over(query, part);
            Outcome outcome = one == null ? Outcome.MOVED : Outcome.FULL;
            world.hop(() -> ended.ended(outcome, null));
            return;
        }
        waiting.add(new Work(query, part, keys, one, repeatsDropped, ended));
        work();
    }

    private void work() {
        while (!hanging && working.size() < CORES && !waiting.isEmpty()) {
            Work work = waiting.poll();
            working.add(work);
            int before = life;
            world.after(
                    WORK.multipliedBy(slowness).plus(world.upTo(WORK)),
                    () -> {
                        if (life == before) {
                            finished(work);
                        }
                    });
        }
    }

    private void finished(Work work) {
        working.remove(work);
        held.over(work.held);
        if (!work.repeatsDropped || !world.moves.repeated(work.query, work.keys)) {
            world.referee.ran(world.now(), work.query, work.part, work.keys);
        }
        world.referee.over(work.query, work.part);
        boolean bad = world.troubled() && world.with(BAD_ANSWERS);
        Duration late =
                world.troubled() && world.with(LATE_ANSWERS)
                        ? world.upTo(LATE_MOST)
                        : Duration.ZERO;
        world.after(
                late,
                () ->
                        world.hop(
                                () ->
                                        work.ended.ended(
                                                bad ? Outcome.ERROR : Outcome.MERGED,
                                                bad
                                                        ? null
                                                        : Referee.valueOf(work.query, work.keys))));
        work();
    }

    // ---- orders

    /** Whether what it was told is done; silent where it is not there. */
    void ordered(Act.Tell tell, Runnable done) {
        if (!alive || hanging) {
            return;
        }
        boolean copied = false;
        if (tell.order() == Order.COPY) {
            // Its own data need no copying; the rest takes its time from the first order on.
            boolean own = name.equals(tell.source());
            VirtualNode source = world.node(tell.source());
            Duration ready =
                    copies.computeIfAbsent(
                            tell.slice(), key -> world.now().plus(world.upTo(COPY_MOST)));
            copied = own || source != null && source.alive && world.now().compareTo(ready) >= 0;
        } else if (tell.order() == Order.DROP) {
            copies.remove(tell.slice());
        }
        if (held.ordered(tell.order(), tell.slice(), tell.keys(), tell.version(), copied)) {
            world.hop(done);
        }
    }

    boolean serves(int slice) {
        HeldSlices.Held one = held.of(slice);
        return one != null && one.standing == HeldSlices.Standing.SERVING;
    }

    // ---- troubles

    /**
     * Dies, with all that it had taken; is back after this time, cold, and holds what it is told.
     */
    void crash(Duration back) {
        if (!alive) {
            return;
        }
        alive = false;
        life++;
        List<Work> lost = new ArrayList<>(working);
        lost.addAll(waiting);
        // What it had begun has run, perhaps.
        for (Work work : working) {
            if (world.with(0.5)
                    && !(work.repeatsDropped && world.moves.repeated(work.query, work.keys))) {
                world.referee.ran(world.now(), work.query, work.part, work.keys);
            }
        }
        working.clear();
        waiting.clear();
        copies.clear();
        if (world.with(LOST_DISKS)) {
            held.forgetAll();
        } else {
            held.restarted();
        }
        lost.forEach(
                work -> {
                    world.referee.over(work.query, work.part);
                    world.hop(() -> work.ended.ended(Outcome.RESET, null));
                });
        world.after(
                world.upTo(Duration.ofSeconds(1)),
                () -> {
                    if (!alive) {
                        readiness = Readiness.GONE;
                        world.listed();
                    }
                });
        world.after(back, this::back);
    }

    private void back() {
        if (!alive) {
            alive = true;
            readiness = Readiness.READY;
            startedAt = world.now();
            world.referee.nodeStarted(world.now(), name);
            world.referee.told(world.now(), name, false);
            world.listed();
        }
    }

    void slow(int times, Duration span) {
        slowness = times;
        world.after(span, () -> slowness = 1);
    }

    void hang(Duration span) {
        hanging = true;
        world.after(
                span,
                () -> {
                    hanging = false;
                    work();
                });
    }

    void drain(Duration span) {
        if (alive && readiness == Readiness.READY) {
            readiness = Readiness.DRAINING;
            world.listed();
            world.after(
                    Duration.ofMillis(2),
                    () -> world.referee.told(world.now(), name, readiness == Readiness.DRAINING));
            world.after(
                    span,
                    () -> {
                        if (readiness == Readiness.DRAINING) {
                            readiness = Readiness.READY;
                            world.referee.told(world.now(), name, false);
                            world.listed();
                        }
                    });
        }
    }

    /** All troubles are over. */
    void recover() {
        slowness = 1;
        hanging = false;
        back();
        if (readiness != Readiness.READY) {
            readiness = Readiness.READY;
            world.referee.told(world.now(), name, false);
        }
        work();
    }
}
