package postbeam.testbed.simulation;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.Consumer;
import postbeam.migration.MigrationAction;
import postbeam.migration.RangeDigest;
import postbeam.slices.CoordinatorAction;
import postbeam.slices.KeyRange;

/**
 * A data node on the simulated clock that stores rows by slice and executes holds. It may die and
 * be slow.
 */
final class SimulatedMigrationNode {
    /**
     * A row: the hold that wrote it, and a mark that increases with every row written on any node.
     */
    record Row(long key, String hold, long mark) {}

    enum CopyState {
        COPYING,
        HOLDING,
        SERVING,
        FENCED
    }

    /** The node's copy of one slice. */
    static final class Copy {
        final KeyRange keys;
        final TreeMap<Long, Row> rows = new TreeMap<>();

        /** The keys of the holds that were accepted and have not ended. */
        final List<Long> openHolds = new ArrayList<>();

        CopyState state;
        long servedFromVersion;
        Duration readyAt;
        boolean copied;

        /**
         * The global sequence number of the last fence or serve. A replica sends its writes to
         * those that were fenced after it began to serve.
         */
        long fenceSequence;

        Copy(KeyRange keys, CopyState state) {
            this.keys = keys;
            this.state = state;
        }
    }

    /** Receives the outcome of a hold: "done", "moved" (it did not run) or "lost". */
    interface HoldListener {
        void onEnded(String outcome);
    }

    final String name;
    final Map<Integer, Copy> copies = new TreeMap<>();
    boolean alive = true;
    Duration slowUntil = Duration.ZERO;
    private final MigrationSimulation simulation;
    private long term;
    private int incarnation;
    private final List<HoldListener> pendingHolds = new ArrayList<>();

    SimulatedMigrationNode(MigrationSimulation simulation, String name) {
        this.simulation = simulation;
        this.name = name;
    }

    // ---- holds

    void onHold(String hold, int slice, long key, long version, HoldListener listener) {
        Copy copy = copies.get(slice);
        if (!alive) {
            simulation.afterHop(() -> listener.onEnded("moved"));
            return;
        }
        if (copy == null || copy.state != CopyState.SERVING || version < copy.servedFromVersion) {
            simulation.afterHop(() -> listener.onEnded("moved"));
            return;
        }
        copy.openHolds.add(key);
        pendingHolds.add(listener);
        int startIncarnation = incarnation;
        Duration workTime =
                simulation.randomDuration(
                        Duration.ofMillis(simulation.now.compareTo(slowUntil) < 0 ? 300 : 12));
        simulation.after(
                workTime,
                () -> {
                    if (startIncarnation == incarnation) {
                        run(copy, slice, new Row(key, hold, simulation.nextMark()), listener);
                    }
                });
    }

    /**
     * Executes a hold and replicates its row to the other copies of the slice. The hold ends once
     * each live one has the row.
     */
    private void run(Copy copy, int slice, Row row, HoldListener listener) {
        simulation.load.onHoldRan(row.hold);
        copy.rows.put(row.key, row);
        int[] pending = {1};
        int startIncarnation = incarnation;
        Runnable onReplicated =
                () -> {
                    if (--pending[0] == 0 && startIncarnation == incarnation) {
                        copy.openHolds.remove(row.key);
                        pendingHolds.remove(listener);
                        simulation.afterHop(() -> listener.onEnded("done"));
                    }
                };
        for (SimulatedMigrationNode other : simulation.nodes) {
            Copy otherCopy = other.copies.get(slice);
            if (other != this
                    && other.alive
                    && otherCopy != null
                    && (otherCopy.state != CopyState.FENCED
                            || copy.fenceSequence <= otherCopy.fenceSequence)) {
                pending[0]++;
                simulation.afterHop(
                        () -> {
                            if (other.copies.get(slice) == otherCopy) {
                                otherCopy.rows.put(row.key, row);
                            }
                            onReplicated.run();
                        });
            }
        }
        onReplicated.run();
    }

    // ---- commands and digest requests

    /**
     * Executes a command and answers "done" once it is complete. Answers "stale" to a coordinator
     * of an older term, and nothing while the node is dead.
     */
    void execute(
            CoordinatorAction.SendCommand command,
            long commandTerm,
            boolean keepsOldRows,
            Consumer<String> answer) {
        if (!alive) {
            return;
        }
        if (commandTerm < term) {
            simulation.afterHop(() -> answer.accept("stale"));
            return;
        }
        term = commandTerm;
        if (carryOut(command, keepsOldRows)) {
            simulation.afterHop(() -> answer.accept("done"));
        }
    }

    private boolean carryOut(CoordinatorAction.SendCommand command, boolean keepsOldRows) {
        Copy copy = copies.get(command.slice());
        switch (command.command()) {
            case COPY -> {
                if (keepsOldRows && copy != null) {
                    copy.state = copy.state == CopyState.FENCED ? CopyState.HOLDING : copy.state;
                    copy.copied = true;
                    return true;
                }
                if (copy == null
                        || copy.state == CopyState.FENCED
                        || copy.state == CopyState.SERVING) {
                    copy = new Copy(command.keys(), CopyState.COPYING);
                    copy.readyAt =
                            simulation.now.plus(simulation.randomDuration(Duration.ofMillis(250)));
                    copies.put(command.slice(), copy);
                }
                SimulatedMigrationNode source = simulation.node(command.source());
                Copy otherCopy = source.copies.get(command.slice());
                if (!copy.copied
                        && source.alive
                        && otherCopy != null
                        && otherCopy.state == CopyState.SERVING
                        && simulation.now.compareTo(copy.readyAt) >= 0) {
                    copy.rows.putAll(otherCopy.rows);
                    copy.copied = true;
                    simulation.maybeDropRow(copy.rows);
                }
                return copy.copied;
            }
            case HOLD -> {
                if (copy == null || !copy.copied) {
                    return false;
                }
                copy.state = copy.state == CopyState.COPYING ? CopyState.HOLDING : copy.state;
                return true;
            }
            case FENCE -> {
                if (copy == null) {
                    return true;
                }
                if (copy.state == CopyState.SERVING) {
                    copy.state = CopyState.FENCED;
                    copy.fenceSequence = simulation.nextFenceSequence();
                }
                return copy.state != CopyState.SERVING && copy.openHolds.isEmpty();
            }
            case SERVE -> {
                if (copy == null || copy.state == CopyState.COPYING) {
                    return false;
                }
                copy.servedFromVersion =
                        copy.state == CopyState.SERVING
                                ? Math.max(copy.servedFromVersion, command.version())
                                : command.version();
                copy.fenceSequence =
                        copy.state == CopyState.SERVING
                                ? copy.fenceSequence
                                : simulation.nextFenceSequence();
                copy.state = CopyState.SERVING;
                return true;
            }
            default -> {
                copies.remove(command.slice());
                return true;
            }
        }
    }

    void answerDigests(MigrationAction.RequestDigests request, Consumer<List<RangeDigest>> answer) {
        Copy copy = copies.get(request.slice());
        if (!alive || copy == null) {
            return;
        }
        List<RangeDigest> digests =
                request.ranges().stream().map(range -> digestOf(copy, range)).toList();
        simulation.afterHop(() -> answer.accept(digests));
    }

    /** Returns the digest of a range of the copy's rows. */
    static RangeDigest digestOf(Copy copy, KeyRange range) {
        int openHolds =
                (int)
                        copy.openHolds.stream()
                                .filter(key -> range.from() <= key && key < range.to())
                                .count();
        long mark = 0;
        MessageDigest digest = sha256();
        var rows = copy.rows.subMap(range.from(), range.to()).values();
        for (Row row : rows) {
            mark = Math.max(mark, row.mark);
            digest.update((row.key + " " + row.hold + "\n").getBytes(StandardCharsets.UTF_8));
        }
        return new RangeDigest(
                range,
                openHolds,
                mark,
                rows.size(),
                100L * rows.size(),
                HexFormat.of().formatHex(digest.digest()));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError("each Java platform has SHA-256", e);
        }
    }

    // ---- faults

    /**
     * Dies and loses the holds that it had accepted. Copies that it did not serve yet are lost, the
     * others are on its disk.
     */
    void crash(Duration downtime) {
        if (!alive) {
            return;
        }
        alive = false;
        incarnation++;
        copies.values()
                .removeIf(
                        copy -> copy.state == CopyState.COPYING || copy.state == CopyState.HOLDING);
        copies.values().forEach(copy -> copy.openHolds.clear());
        List<HoldListener> lost = List.copyOf(pendingHolds);
        pendingHolds.clear();
        lost.forEach(listener -> simulation.afterHop(() -> listener.onEnded("lost")));
        simulation.after(
                Duration.ofMillis(100).plus(simulation.randomDuration(Duration.ofMillis(200))),
                () -> {
                    if (!alive) {
                        simulation.onNodeListed(this, false);
                    }
                });
        simulation.after(downtime, this::restart);
    }

    /**
     * Restarts, fetches the rows that it missed from the replicas that serve, and is listed again.
     */
    void restart() {
        if (alive) {
            return;
        }
        alive = true;
        copies.forEach(this::fetchMissedRows);
        simulation.onNodeListed(this, true);
    }

    /**
     * Copies the rows of the other replicas that serve or are fenced: a replica that was fenced for
     * a cut-over may be the only one left that has the last rows.
     */
    private void fetchMissedRows(int slice, Copy copy) {
        simulation.nodes.stream()
                .filter(other -> other != this && other.alive)
                .map(other -> other.copies.get(slice))
                .filter(Objects::nonNull)
                .filter(other -> mayFetchFrom(copy, other))
                .forEach(other -> copy.rows.putAll(other.rows));
    }

    /** A fenced copy must not get rows that were written after it was fenced. */
    private static boolean mayFetchFrom(Copy copy, Copy other) {
        boolean complete = other.state == CopyState.SERVING || other.state == CopyState.FENCED;
        return complete
                && (copy.state != CopyState.FENCED || other.fenceSequence <= copy.fenceSequence);
    }
}
