package postbeam.testbed.simulation;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
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

    enum Standing {
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
        final List<Long> open = new ArrayList<>();

        Standing standing;
        long from;
        Duration readyAt;
        boolean copied;

        /**
         * The global sequence number of the last fence or serve. A replica sends its writes to
         * those that were fenced after it began to serve.
         */
        long turn;

        Copy(KeyRange keys, Standing standing) {
            this.keys = keys;
            this.standing = standing;
        }
    }

    /** Receives the outcome of a hold: "done", "moved" (it did not run) or "lost". */
    interface Ended {
        void ended(String outcome);
    }

    final String name;
    final Map<Integer, Copy> copies = new TreeMap<>();
    boolean alive = true;
    Duration slowUntil = Duration.ZERO;
    private final MigrationSimulation world;
    private long term;
    private int life;
    private final List<Ended> waiting = new ArrayList<>();

    SimulatedMigrationNode(MigrationSimulation world, String name) {
        this.world = world;
        this.name = name;
    }

    // ---- holds

    void called(String hold, int slice, long key, long version, Ended ended) {
        Copy copy = copies.get(slice);
        if (!alive) {
            world.hop(() -> ended.ended("moved"));
            return;
        }
        if (copy == null || copy.standing != Standing.SERVING || version < copy.from) {
            world.hop(() -> ended.ended("moved"));
            return;
        }
        copy.open.add(key);
        waiting.add(ended);
        int mine = life;
        Duration work =
                world.upTo(Duration.ofMillis(world.now.compareTo(slowUntil) < 0 ? 300 : 12));
        world.after(
                work,
                () -> {
                    if (mine == life) {
                        run(copy, slice, new Row(key, hold, world.nextMark()), ended);
                    }
                });
    }

    /**
     * Executes a hold and replicates its row to the other copies of the slice. The hold ends once
     * each live one has the row.
     */
    private void run(Copy copy, int slice, Row row, Ended ended) {
        world.load.ran(row.hold);
        copy.rows.put(row.key, row);
        int[] left = {1};
        int mine = life;
        Runnable one =
                () -> {
                    if (--left[0] == 0 && mine == life) {
                        copy.open.remove(row.key);
                        waiting.remove(ended);
                        world.hop(() -> ended.ended("done"));
                    }
                };
        for (SimulatedMigrationNode other : world.nodes) {
            Copy theirs = other.copies.get(slice);
            if (other != this
                    && other.alive
                    && theirs != null
                    && (theirs.standing != Standing.FENCED || copy.turn <= theirs.turn)) {
                left[0]++;
                world.hop(
                        () -> {
                            if (other.copies.get(slice) == theirs) {
                                theirs.rows.put(row.key, row);
                            }
                            one.run();
                        });
            }
        }
        one.run();
    }

    // ---- commands and digest requests

    /**
     * Executes a command and answers "done" once it is complete. Answers "stale" to a coordinator
     * of an older term, and nothing while the node is dead.
     */
    void ordered(
            CoordinatorAction.SendCommand tell,
            long by,
            boolean keepsOld,
            Consumer<String> answer) {
        if (!alive) {
            return;
        }
        if (by < term) {
            world.hop(() -> answer.accept("stale"));
            return;
        }
        term = by;
        if (done(tell, keepsOld)) {
            world.hop(() -> answer.accept("done"));
        }
    }

    private boolean done(CoordinatorAction.SendCommand tell, boolean keepsOld) {
        Copy copy = copies.get(tell.slice());
        switch (tell.command()) {
            case COPY -> {
                if (keepsOld && copy != null) {
                    copy.standing =
                            copy.standing == Standing.FENCED ? Standing.HOLDING : copy.standing;
                    copy.copied = true;
                    return true;
                }
                if (copy == null
                        || copy.standing == Standing.FENCED
                        || copy.standing == Standing.SERVING) {
                    copy = new Copy(tell.keys(), Standing.COPYING);
                    copy.readyAt = world.now.plus(world.upTo(Duration.ofMillis(250)));
                    copies.put(tell.slice(), copy);
                }
                SimulatedMigrationNode source = world.node(tell.source());
                Copy theirs = source.copies.get(tell.slice());
                if (!copy.copied
                        && source.alive
                        && theirs != null
                        && theirs.standing == Standing.SERVING
                        && world.now.compareTo(copy.readyAt) >= 0) {
                    copy.rows.putAll(theirs.rows);
                    copy.copied = true;
                    world.spoil(copy.rows);
                }
                return copy.copied;
            }
            case HOLD -> {
                if (copy == null || !copy.copied) {
                    return false;
                }
                copy.standing =
                        copy.standing == Standing.COPYING ? Standing.HOLDING : copy.standing;
                return true;
            }
            case FENCE -> {
                if (copy == null) {
                    return true;
                }
                if (copy.standing == Standing.SERVING) {
                    copy.standing = Standing.FENCED;
                    copy.turn = world.nextTurn();
                }
                return copy.standing != Standing.SERVING && copy.open.isEmpty();
            }
            case SERVE -> {
                if (copy == null || copy.standing == Standing.COPYING) {
                    return false;
                }
                copy.from =
                        copy.standing == Standing.SERVING
                                ? Math.max(copy.from, tell.version())
                                : tell.version();
                copy.turn = copy.standing == Standing.SERVING ? copy.turn : world.nextTurn();
                copy.standing = Standing.SERVING;
                return true;
            }
            default -> {
                copies.remove(tell.slice());
                return true;
            }
        }
    }

    void asked(MigrationAction.RequestDigests ask, Consumer<List<RangeDigest>> answer) {
        Copy copy = copies.get(ask.slice());
        if (!alive || copy == null) {
            return;
        }
        List<RangeDigest> said = ask.ranges().stream().map(range -> said(copy, range)).toList();
        world.hop(() -> answer.accept(said));
    }

    /** Returns the digest of a range of the copy's rows. */
    static RangeDigest said(Copy copy, KeyRange range) {
        int open =
                (int)
                        copy.open.stream()
                                .filter(key -> range.from() <= key && key < range.to())
                                .count();
        long mark = 0;
        MessageDigest sum = sha256();
        var rows = copy.rows.subMap(range.from(), range.to()).values();
        for (Row row : rows) {
            mark = Math.max(mark, row.mark);
            sum.update((row.key + " " + row.hold + "\n").getBytes(StandardCharsets.UTF_8));
        }
        return new RangeDigest(
                range,
                open,
                mark,
                rows.size(),
                100L * rows.size(),
                HexFormat.of().formatHex(sum.digest()));
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
    void die(Duration away) {
        if (!alive) {
            return;
        }
        alive = false;
        life++;
        copies.values()
                .removeIf(
                        copy ->
                                copy.standing == Standing.COPYING
                                        || copy.standing == Standing.HOLDING);
        copies.values().forEach(copy -> copy.open.clear());
        List<Ended> lost = List.copyOf(waiting);
        waiting.clear();
        lost.forEach(ended -> world.hop(() -> ended.ended("lost")));
        world.after(
                Duration.ofMillis(100).plus(world.upTo(Duration.ofMillis(200))),
                () -> {
                    if (!alive) {
                        world.listed(this, false);
                    }
                });
        world.after(away, this::back);
    }

    /**
     * Restarts, fetches the rows that it missed from the replicas that serve, and is listed again.
     */
    void back() {
        if (alive) {
            return;
        }
        alive = true;
        copies.forEach(
                (slice, copy) ->
                        world.nodes.stream()
                                .filter(
                                        other ->
                                                other != this
                                                        && other.alive
                                                        && other.copies.containsKey(slice))
                                .map(other -> other.copies.get(slice))
                                .filter(
                                        theirs ->
                                                theirs.standing == Standing.SERVING
                                                        && (copy.standing != Standing.FENCED
                                                                || theirs.turn <= copy.turn))
                                .forEach(theirs -> copy.rows.putAll(theirs.rows)));
        world.listed(this, true);
    }
}
