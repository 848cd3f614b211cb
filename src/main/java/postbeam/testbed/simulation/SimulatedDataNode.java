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
import postbeam.testbed.fakes.OrderNumber;
import postbeam.testbed.verification.InvariantChecker;

/**
 * A data node on the simulated clock that holds slices by layout version. It may be slow, hang,
 * crash or drain.
 */
final class SimulatedDataNode {
    /**
     * Attempts that the node executes at once. Up to {@link #MAX_QUEUED} more wait; further ones
     * are rejected.
     */
    private static final int CORES = 2;

    private static final int MAX_QUEUED = 40;
    private static final Duration WORK_TIME = Duration.ofMillis(6);

    /**
     * The probability that a response is delayed by up to {@link #MAX_DELAY}: past a fence, a split
     * and a new layout version.
     */
    private static final double DELAYED_RESPONSES = 0.03;

    private static final Duration MAX_DELAY = Duration.ofMillis(900);
    private static final double FAILED_RESPONSES = 0.03;

    /** The probability that a crash loses the disk. */
    private static final double LOST_DISKS = 0.1;

    private static final Duration MAX_COPY_TIME = Duration.ofMillis(300);

    /** An accepted attempt and the callback for its outcome. */
    private record Work(
            String query,
            String attemptId,
            KeyRange keys,
            FakeSliceStore.HeldSlice held,
            boolean deduplicated,
            SimulatedQueryRouter.AttemptListener listener) {}

    final String name;
    final String zone;
    Readiness readiness = Readiness.READY;
    Duration startedAt;
    private final SimulatedCluster cluster;
    private final FakeSliceStore held = new FakeSliceStore();
    private final Deque<Work> waiting = new ArrayDeque<>();
    private final List<Work> working = new ArrayList<>();
    private final Map<Integer, Duration> copyReadyAt = new HashMap<>();
    private boolean alive = true;
    private boolean hanging;
    private int slowness = 1;

    /** Incremented by each crash: work begun before a crash does not finish after it. */
    private int incarnation;

    SimulatedDataNode(SimulatedCluster cluster, String name, String zone) {
        this.cluster = cluster;
        this.name = name;
        this.zone = zone;
    }

    // ---- attempts

    /** Handles an attempt that has been received completely. */
    void onAttempt(
            String query,
            String attemptId,
            int slice,
            KeyRange keys,
            long version,
            boolean deduplicated,
            SimulatedQueryRouter.AttemptListener listener) {
        if (!alive) {
            cluster.afterHop(() -> listener.onEnded(AttemptOutcome.UNREACHABLE, null));
            return;
        }
        cluster.checker.called(cluster.now(), name, query, attemptId, keys, version, WORK_TIME);
        FakeSliceStore.HeldSlice heldSlice = held.tryAccept(slice, version, keys);
        if (heldSlice == null
                || waiting.size() >= MAX_QUEUED
                || (readiness == Readiness.DRAINING && cluster.withProbability(0.5))) {
            if (heldSlice != null) {
                held.completeCall(heldSlice);
            }
            cluster.checker.callEnded(query, attemptId);
            AttemptOutcome outcome =
                    heldSlice == null ? AttemptOutcome.MOVED : AttemptOutcome.OVERLOADED;
            cluster.afterHop(() -> listener.onEnded(outcome, null));
            return;
        }
        waiting.add(new Work(query, attemptId, keys, heldSlice, deduplicated, listener));
        work();
    }

    private void work() {
        while (!hanging && working.size() < CORES && !waiting.isEmpty()) {
            Work work = waiting.poll();
            working.add(work);
            int startIncarnation = incarnation;
            cluster.after(
                    WORK_TIME.multipliedBy(slowness).plus(cluster.randomDuration(WORK_TIME)),
                    () -> {
                        if (incarnation == startIncarnation) {
                            finish(work);
                        }
                    });
        }
    }

    private void finish(Work work) {
        working.remove(work);
        held.completeCall(work.held);
        if (!work.deduplicated || !cluster.moves.alreadyRan(work.query, work.keys)) {
            cluster.checker.ran(cluster.now(), work.query, work.attemptId, work.keys);
        }
        cluster.checker.callEnded(work.query, work.attemptId);
        boolean failed = cluster.faultsActive() && cluster.withProbability(FAILED_RESPONSES);
        Duration delay =
                cluster.faultsActive() && cluster.withProbability(DELAYED_RESPONSES)
                        ? cluster.randomDuration(MAX_DELAY)
                        : Duration.ZERO;
        cluster.after(
                delay,
                () ->
                        cluster.afterHop(
                                () ->
                                        work.listener.onEnded(
                                                failed
                                                        ? AttemptOutcome.ERROR
                                                        : AttemptOutcome.SUCCESS,
                                                failed
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
    void execute(CoordinatorAction.SendCommand command, long term, Runnable done) {
        if (!alive || hanging) {
            return;
        }
        OrderNumber number = new OrderNumber(term, command.number());
        if (held.isOvertaken(command.slice(), number)) {
            return;
        }
        boolean copied = false;
        if (command.command() == HandoffCommand.COPY) {
            // The node's own data need no copying. Other data take a random time from the first
            // command on.
            boolean isSource = name.equals(command.source());
            SimulatedDataNode source = cluster.node(command.source());
            Duration ready =
                    copyReadyAt.computeIfAbsent(
                            command.slice(),
                            key -> cluster.now().plus(cluster.randomDuration(MAX_COPY_TIME)));
            copied =
                    isSource
                            || (source != null
                                    && source.alive
                                    && cluster.now().compareTo(ready) >= 0);
        } else if (command.command() == HandoffCommand.DROP) {
            copyReadyAt.remove(command.slice());
        }
        if (held.execute(
                command.command(),
                command.slice(),
                command.keys(),
                command.version(),
                number,
                copied)) {
            cluster.afterHop(done);
        }
    }

    boolean serves(int slice) {
        FakeSliceStore.HeldSlice heldSlice = held.find(slice);
        return heldSlice != null && heldSlice.state == FakeSliceStore.SliceState.SERVING;
    }

    // ---- faults

    /**
     * Crashes and loses all attempts that it had accepted. After this time it is back, cold, and
     * holds the slices that it is commanded to hold.
     */
    void crash(Duration downtime) {
        if (!alive) {
            return;
        }
        alive = false;
        incarnation++;
        List<Work> lost = new ArrayList<>(working);
        lost.addAll(waiting);
        // Of the attempts that were executing, a random half has run.
        for (Work work : working) {
            if (cluster.withProbability(0.5)
                    && !(work.deduplicated && cluster.moves.alreadyRan(work.query, work.keys))) {
                cluster.checker.ran(cluster.now(), work.query, work.attemptId, work.keys);
            }
        }
        working.clear();
        waiting.clear();
        copyReadyAt.clear();
        if (cluster.withProbability(LOST_DISKS)) {
            held.forgetAll();
        } else {
            held.restarted();
        }
        lost.forEach(
                work -> {
                    cluster.checker.callEnded(work.query, work.attemptId);
                    cluster.afterHop(() -> work.listener.onEnded(AttemptOutcome.RESET, null));
                });
        cluster.after(
                cluster.randomDuration(Duration.ofSeconds(1)),
                () -> {
                    if (!alive) {
                        readiness = Readiness.REMOVED;
                        cluster.publishNodeList();
                    }
                });
        cluster.after(downtime, this::restart);
    }

    private void restart() {
        if (!alive) {
            alive = true;
            readiness = Readiness.READY;
            startedAt = cluster.now();
            cluster.checker.nodeStarted(cluster.now(), name);
            cluster.checker.onDrainingChanged(cluster.now(), name, false);
            cluster.publishNodeList();
        }
    }

    void slow(int factor, Duration span) {
        slowness = factor;
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
        restart();
        if (readiness != Readiness.READY) {
            readiness = Readiness.READY;
            cluster.checker.onDrainingChanged(cluster.now(), name, false);
        }
        work();
    }
}
