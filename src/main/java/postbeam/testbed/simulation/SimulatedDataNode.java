package postbeam.testbed.simulation;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import postbeam.model.AttemptOutcome;
import postbeam.model.Readiness;
import postbeam.slices.CoordinatorAction;
import postbeam.slices.HandoffCommand;
import postbeam.slices.KeyRange;
import postbeam.testbed.fakes.FakeSliceStore;
import postbeam.testbed.verification.InvariantChecker;

/**
 * A data node on the simulated clock that holds slices by layout version. It may be slow, hang,
 * crash or drain.
 */
final class SimulatedDataNode {
    /**
     * Attempts that the node executes at once. Up to {@link #QUEUE} more wait; further ones are
     * rejected.
     */
    private static final int CORES = 2;

    private static final int QUEUE = 40;
    private static final Duration WORK = Duration.ofMillis(6);

    /**
     * The probability that a response is delayed by up to {@link #LATE_MOST}: past a fence, a split
     * and a new layout version.
     */
    private static final double LATE_ANSWERS = 0.03;

    private static final Duration LATE_MOST = Duration.ofMillis(900);
    private static final double BAD_ANSWERS = 0.03;

    /** The probability that a crash loses the disk. */
    private static final double LOST_DISKS = 0.1;

    private static final Duration COPY_MOST = Duration.ofMillis(300);

    /** An accepted attempt and the callback for its outcome. */
    private record Work(
            String query,
            String part,
            KeyRange keys,
            FakeSliceStore.HeldSlice held,
            boolean repeatsDropped,
            SimulatedQueryRouter.Ended ended) {}

    final String name;
    final String zone;
    Readiness readiness = Readiness.READY;
    Duration startedAt;
    private final SimulatedCluster cluster;
    private final FakeSliceStore held = new FakeSliceStore();
    private final Deque<Work> waiting = new ArrayDeque<>();
    private final List<Work> working = new ArrayList<>();
    private final Map<Integer, Duration> copies = new HashMap<>();
    private boolean alive = true;
    private boolean hanging;
    private int slowness = 1;

    /** Incremented by each crash: work begun before a crash does not finish after it. */
    private int life;

    SimulatedDataNode(SimulatedCluster cluster, String name, String zone) {
        this.cluster = cluster;
        this.name = name;
        this.zone = zone;
    }

    // ---- attempts

    /** Handles an attempt that has been received completely. */
    void called(
            String query,
            String part,
            int slice,
            KeyRange keys,
            long version,
            boolean repeatsDropped,
            SimulatedQueryRouter.Ended ended) {
        if (!alive) {
            cluster.hop(() -> ended.ended(AttemptOutcome.UNREACHABLE, null));
            return;
        }
        cluster.checker.called(cluster.now(), name, query, part, keys, version, WORK);
        FakeSliceStore.HeldSlice one = held.tryAccept(slice, version, keys);
        if (one == null
                || waiting.size() >= QUEUE
                || (readiness == Readiness.DRAINING && cluster.with(0.5))) {
            if (one != null) {
                held.completeCall(one);
            }
            cluster.checker.callEnded(query, part);
            AttemptOutcome outcome = one == null ? AttemptOutcome.MOVED : AttemptOutcome.OVERLOADED;
            cluster.hop(() -> ended.ended(outcome, null));
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
            cluster.after(
                    WORK.multipliedBy(slowness).plus(cluster.upTo(WORK)),
                    () -> {
                        if (life == before) {
                            finished(work);
                        }
                    });
        }
    }

    private void finished(Work work) {
        working.remove(work);
        held.completeCall(work.held);
        if (!work.repeatsDropped || !cluster.moves.repeated(work.query, work.keys)) {
            cluster.checker.ran(cluster.now(), work.query, work.part, work.keys);
        }
        cluster.checker.callEnded(work.query, work.part);
        boolean bad = cluster.faultsActive() && cluster.with(BAD_ANSWERS);
        Duration late =
                cluster.faultsActive() && cluster.with(LATE_ANSWERS)
                        ? cluster.upTo(LATE_MOST)
                        : Duration.ZERO;
        cluster.after(
                late,
                () ->
                        cluster.hop(
                                () ->
                                        work.ended.ended(
                                                bad ? AttemptOutcome.ERROR : AttemptOutcome.SUCCESS,
                                                bad
                                                        ? null
                                                        : InvariantChecker.valueOf(
                                                                work.query, work.keys))));
        work();
    }

    // ---- commands

    /**
     * Executes a command and acknowledges it once it is complete. Sends no answer while the node is
     * down or hangs.
     */
    void ordered(CoordinatorAction.SendCommand tell, Runnable done) {
        if (!alive || hanging) {
            return;
        }
        boolean copied = false;
        if (tell.command() == HandoffCommand.COPY) {
            // The node's own data need no copying. Other data take a random time from the first
            // command on.
            boolean own = name.equals(tell.source());
            SimulatedDataNode source = cluster.node(tell.source());
            Duration ready =
                    copies.computeIfAbsent(
                            tell.slice(), key -> cluster.now().plus(cluster.upTo(COPY_MOST)));
            copied = own || (source != null && source.alive && cluster.now().compareTo(ready) >= 0);
        } else if (tell.command() == HandoffCommand.DROP) {
            copies.remove(tell.slice());
        }
        if (held.ordered(tell.command(), tell.slice(), tell.keys(), tell.version(), copied)) {
            cluster.hop(done);
        }
    }

    boolean serves(int slice) {
        FakeSliceStore.HeldSlice one = held.find(slice);
        return one != null && one.state == FakeSliceStore.SliceState.SERVING;
    }

    // ---- faults

    /**
     * Crashes and loses all attempts that it had accepted. After this time it is back, cold, and
     * holds the slices that it is commanded to hold.
     */
    void crash(Duration back) {
        if (!alive) {
            return;
        }
        alive = false;
        life++;
        List<Work> lost = new ArrayList<>(working);
        lost.addAll(waiting);
        // Of the attempts that were executing, a random half has run.
        for (Work work : working) {
            if (cluster.with(0.5)
                    && !(work.repeatsDropped && cluster.moves.repeated(work.query, work.keys))) {
                cluster.checker.ran(cluster.now(), work.query, work.part, work.keys);
            }
        }
        working.clear();
        waiting.clear();
        copies.clear();
        if (cluster.with(LOST_DISKS)) {
            held.forgetAll();
        } else {
            held.restarted();
        }
        lost.forEach(
                work -> {
                    cluster.checker.callEnded(work.query, work.part);
                    cluster.hop(() -> work.ended.ended(AttemptOutcome.RESET, null));
                });
        cluster.after(
                cluster.upTo(Duration.ofSeconds(1)),
                () -> {
                    if (!alive) {
                        readiness = Readiness.REMOVED;
                        cluster.publishNodeList();
                    }
                });
        cluster.after(back, this::back);
    }

    private void back() {
        if (!alive) {
            alive = true;
            readiness = Readiness.READY;
            startedAt = cluster.now();
            cluster.checker.nodeStarted(cluster.now(), name);
            cluster.checker.onDrainingChanged(cluster.now(), name, false);
            cluster.publishNodeList();
        }
    }

    void slow(int times, Duration span) {
        slowness = times;
        cluster.after(span, () -> slowness = 1);
    }

    void hang(Duration span) {
        hanging = true;
        cluster.after(
                span,
                () -> {
                    hanging = false;
                    work();
                });
    }

    void drain(Duration span) {
        if (alive && readiness == Readiness.READY) {
            readiness = Readiness.DRAINING;
            cluster.publishNodeList();
            cluster.after(
                    Duration.ofMillis(2),
                    () ->
                            cluster.checker.onDrainingChanged(
                                    cluster.now(), name, readiness == Readiness.DRAINING));
            cluster.after(
                    span,
                    () -> {
                        if (readiness == Readiness.DRAINING) {
                            readiness = Readiness.READY;
                            cluster.checker.onDrainingChanged(cluster.now(), name, false);
                            cluster.publishNodeList();
                        }
                    });
        }
    }

    /** Ends all faults. */
    void recover() {
        slowness = 1;
        hanging = false;
        back();
        if (readiness != Readiness.READY) {
            readiness = Readiness.READY;
            cluster.checker.onDrainingChanged(cluster.now(), name, false);
        }
        work();
    }
}
