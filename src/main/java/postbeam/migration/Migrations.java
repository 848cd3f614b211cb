package postbeam.migration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import postbeam.errors.ExplainedException;
import postbeam.slices.Act;
import postbeam.slices.Change;
import postbeam.slices.Coordinator;
import postbeam.slices.Gate;
import postbeam.slices.Layout;
import postbeam.slices.Logged;
import postbeam.slices.Move;
import postbeam.slices.MoveState;
import postbeam.slices.Order;
import postbeam.slices.Slice;
import postbeam.slices.Target;
import postbeam.state.Readiness;

/**
 * Decides how migrations go on. What must outlive it is in the {@link MigrationBook}; which move is
 * a hop's is told by the move's change, so one that died goes on from its log. To be called by one
 * thread at a time, and ticked before the {@link Coordinator}, whose gate it is.
 */
public class Migrations implements Gate {
    /**
     * Why a copy that differs, or that its target no longer holds, is thrown away when a migration
     * goes on.
     */
    private static final String COPIED_ANEW = "its copy was no good: copied anew";

    /** Members whose utility is kept. */
    private static final int MEMBERS_MOST = 1000;

    private final Coordinator coordinator;
    private final MigrationBook book;
    private final MigrationLimits limits;
    private final Routers routers;
    private final Duration bornAt;
    private final Pace pace;
    private final Map<Long, Comparison> comparisons = new TreeMap<>();
    private final Map<String, Duration> startedAt = new HashMap<>();
    private final Map<String, Double> utilities = new LinkedHashMap<>();
    private final Map<Integer, Long> bytes = new HashMap<>();

    /** Since when a move's target has not said that it keeps up. */
    private final Map<Long, Duration> behindSince = new HashMap<>();

    /** The layout that all routers must have, by migration. */
    private final Map<Long, Long> toBeTold = new HashMap<>();

    /** Questions for what a slice weighs, and the first time that each was asked for. */
    private final Map<Long, Integer> weighing = new HashMap<>();

    private final Map<Integer, Duration> weighedFrom = new HashMap<>();
    private final Map<Integer, Duration> weighedLast = new HashMap<>();
    private long asked;

    public Migrations(
            Coordinator coordinator,
            MigrationBook book,
            MigrationLimits limits,
            Duration startedAt) {
        this.coordinator = coordinator;
        this.book = book;
        this.limits = limits;
        this.bornAt = startedAt;
        this.routers = new Routers(limits.lease(), limits.drift(), startedAt);
        this.pace = new Pace(limits.movesASecond(), limits.bytesASecond());
        coordinator.gate(this);
    }

    public MigrationBook book() {
        return book;
    }

    public Routers routers() {
        return routers;
    }

    // ---- what operators order

    /** Plans a member's migration; its number is the last that the book has. */
    public List<Doing> open(String member, List<Hop> hops, Duration now) throws ExplainedException {
        Optional<String> problem = problem(hops);
        if (problem.isPresent()) {
            throw new ExplainedException(new MigrationError.CantPlan(member, problem.get()));
        }
        List<Doing> doings = new ArrayList<>();
        write(
                doings,
                new Noted.Opened(
                        book.next(),
                        member,
                        hops,
                        layout().version,
                        utilities.getOrDefault(member, 0.0),
                        now));
        return doings;
    }

    /** Why these can't be planned, in one line; empty where they can. */
    public Optional<String> problem(List<Hop> hops) {
        Set<Integer> slices = new HashSet<>();
        if (hops.isEmpty()) {
            return Optional.of("it has no hop");
        }
        for (Hop hop : hops) {
            if (!slices.add(hop.slice())) {
                return Optional.of(
                        "slice "
                                + hop.slice()
                                + " stands there twice: one holder is moved at a time");
            }
            Optional<String> problem = coordinator.problem(hop.forward());
            if (problem.isPresent()) {
                return problem;
            }
        }
        return Optional.empty();
    }

    public List<Doing> pause(long id, String why, Duration now) throws ExplainedException {
        Migration one = needed(id);
        if (one.paused()) {
            throw new ExplainedException(new MigrationError.IsPaused(id, one.pausedWhy()));
        }
        List<Doing> doings = new ArrayList<>();
        write(doings, new Noted.Paused(id, Cause.OPERATOR, why, now));
        return doings;
    }

    public List<Doing> resume(long id, Duration now) throws ExplainedException {
        Migration one = needed(id);
        if (!one.paused()) {
            throw new ExplainedException(new MigrationError.NotPaused(id));
        }
        Optional<Noted.Paused> still = standing(one, now);
        if (still.isPresent()) {
            throw new ExplainedException(new MigrationError.StillSo(id, still.get().why()));
        }
        List<Doing> doings = new ArrayList<>();
        for (Hop hop : one.hops) {
            Move move = move(hop);
            if (move != null) {
                boolean behind =
                        behindSince.remove(move.id) != null && one.cause() == Cause.STARVED;
                Comparison comparison = comparisons.remove(move.id);
                if ((behind || comparison != null && !comparison.differ().isEmpty())
                        && abandonable(move)) {
                    abandon(doings, move, COPIED_ANEW, now);
                }
            }
        }
        write(doings, new Noted.Resumed(id, now));
        return doings;
    }

    /** Passes the open checkpoint, which must be the one that the order names. */
    public List<Doing> pass(long id, Checkpoint named, Duration now) throws ExplainedException {
        Migration one = needed(id);
        if (one.open() == null || !one.open().equals(named)) {
            if (named.equals(one.passed())) {
                throw new ExplainedException(new MigrationError.Doubled(id, named));
            }
            throw new ExplainedException(
                    one.open() == null
                            ? new MigrationError.NoCheckpoint(id, one.stage())
                            : new MigrationError.Stale(id, named, one.open()));
        }
        if (one.paused()) {
            throw new ExplainedException(new MigrationError.IsPaused(id, one.pausedWhy()));
        }
        List<Doing> doings = new ArrayList<>();
        write(doings, new Noted.Passed(id, now));
        return doings;
    }

    /** Takes a migration back, paused or not; the pause is over then. */
    public List<Doing> rollBack(long id, String why, Duration now) throws ExplainedException {
        Migration one = needed(id);
        if (!one.stage().mayGoBack()) {
            throw new ExplainedException(new MigrationError.TooLate(id, one.stage()));
        }
        List<Doing> doings = new ArrayList<>();
        write(doings, new Noted.RollingBack(id, why, now));
        return doings;
    }

    private Migration needed(long id) throws ExplainedException {
        Migration one = book.of(id);
        if (one == null || one.stage().over()) {
            throw new ExplainedException(new MigrationError.NoSuch(id));
        }
        return one;
    }

    // ---- what happens

    /**
     * These nodes have started: cold, and what they had not yet served they may have missed writes
     * of.
     */
    public List<Doing> started(Collection<String> nodes, Duration now) {
        List<Doing> doings = new ArrayList<>();
        nodes.forEach(node -> startedAt.put(node, now));
        startedAt.values().removeIf(at -> now.minus(at).compareTo(limits.cold()) > 0);
        for (Migration one : book.open()) {
            for (Hop hop : one.hops) {
                Move move = move(hop);
                if (move != null
                        && move.gains.stream().anyMatch(gain -> nodes.contains(gain.node()))
                        && abandonable(move)
                        && move.state != MoveState.PLANNED) {
                    abandon(doings, move, "its target started anew", now);
                }
            }
        }
        return doings;
    }

    /** How well a member is served, from 0 to 1. */
    public void utility(String member, double utility) {
        if (utilities.size() < MEMBERS_MOST || utilities.containsKey(member)) {
            utilities.put(member, utility);
        }
    }

    /** A node's answer to the question of that number. */
    public void answered(long number, String node, List<Said> said, Duration now) {
        Integer slice = weighing.remove(number);
        if (slice != null) {
            bytes.put(slice, said.stream().mapToLong(Said::bytes).sum());
        } else {
            comparisons.values().forEach(one -> one.answered(number, node, said, now));
        }
    }

    /** What is to be done now. */
    public List<Doing> tick(Duration now) {
        List<Doing> doings = new ArrayList<>();
        if (!coordinator.listed()) {
            return doings;
        }
        // Who has had the least goes first, so that a large member does not hold up the others.
        List<Migration> open = new ArrayList<>(book.open());
        open.sort(
                Comparator.comparingLong((Migration one) -> pace.had(one.member))
                        .thenComparingLong(one -> one.id));
        for (Migration one : open) {
            Stage before;
            do {
                before = one.stage();
                step(doings, one, now);
            } while (one.stage() != before && !one.stage().over());
        }
        comparisons.keySet().removeIf(id -> coordinator.book().move(id) == null);
        behindSince.keySet().removeIf(id -> coordinator.book().move(id) == null);
        toBeTold.keySet().removeIf(id -> book.of(id) == null || book.of(id).stage().over());
        pace.forget(book.open().stream().map(one -> one.member).collect(Collectors.toSet()));
        return doings;
    }

    private void step(List<Doing> doings, Migration one, Duration now) {
        if (one.paused()) {
            return;
        }
        Optional<Noted.Paused> cause = standing(one, now).or(() -> happened(one, now));
        if (cause.isPresent()) {
            write(doings, cause.get());
            return;
        }
        switch (one.stage()) {
            case PLANNED -> {
                if (book.open().stream().filter(other -> other.stage() != Stage.PLANNED).count()
                        < limits.atOnce()) {
                    enter(doings, one, Stage.COPYING, now);
                }
            }
            case COPYING -> {
                plan(doings, one, true, now);
                if (one.hops.stream().allMatch(hop -> moved(hop) || holds(hop))) {
                    enter(doings, one, Stage.CAUGHT_UP, now);
                }
            }
            case CAUGHT_UP ->
                    enter(
                            doings,
                            one,
                            one.hops.stream().allMatch(hop -> moved(hop) || holds(hop))
                                    ? Stage.VERIFYING
                                    : Stage.COPYING,
                            now);
            case VERIFYING -> verifying(doings, one, now);
            case CHECKPOINT -> {
                if (missing(one)) {
                    enter(doings, one, Stage.COPYING, now);
                }
            }
            case SWITCHING -> switching(doings, one, now);
            case WATCHED -> {
                if (now.minus(one.since()).compareTo(limits.watch()) >= 0) {
                    write(doings, new Noted.Opening(one.id, layout().version, digest(one), now));
                }
            }
            case RETIRING -> {
                if (one.hops.stream().allMatch(hop -> move(hop) == null)) {
                    enter(doings, one, Stage.RETIRED, now);
                }
            }
            case ROLLING_BACK -> rollingBack(doings, one, now);
            default -> {}
        }
    }

    /** Plans moves that are not there, as the batch and the pace allow. */
    private void plan(List<Doing> doings, Migration one, boolean forward, Duration now) {
        long copying =
                one.hops.stream()
                        .map(this::move)
                        .filter(
                                move ->
                                        move != null
                                                && (move.state == MoveState.PLANNED
                                                        || move.state == MoveState.COPYING))
                        .count();
        for (Hop hop : one.hops) {
            if (move(hop) != null
                    || moved(hop) == forward
                    || copying >= limits.batch()
                    || !pace.free(now)) {
                continue;
            }
            Change change = forward ? hop.forward() : hop.back();
            Optional<String> problem = coordinator.problem(change);
            if (problem.isPresent()) {
                write(doings, new Noted.Paused(one.id, Cause.MOVE_FAILED, problem.get(), now));
                return;
            }
            if (bytes.containsKey(hop.slice())) {
                pace.begun(one.member, bytes.remove(hop.slice()), now);
                weighedFrom.remove(hop.slice());
                copying++;
                of(doings, coordinator.plan(change, now));
            } else if (weigh(doings, hop, now)) {
                write(
                        doings,
                        new Noted.Paused(
                                one.id,
                                Cause.STARVED,
                                "no holder says what slice " + hop.slice() + " weighs",
                                now));
                return;
            }
        }
    }

    /** Asks a holder what the slice's copy takes; true where that has long been in vain. */
    private boolean weigh(List<Doing> doings, Hop hop, Duration now) {
        Duration last = weighedLast.get(hop.slice());
        if (last == null || now.minus(last).compareTo(limits.again()) >= 0) {
            weighedLast.put(hop.slice(), now);
            Slice slice = layout().slice(hop.slice());
            String node =
                    slice.nodes().stream()
                            .filter(this::ready)
                            .findFirst()
                            .orElse(slice.nodes().get(0));
            weighing.values().removeIf(other -> other == hop.slice());
            weighing.put(++asked, hop.slice());
            doings.add(new Doing.Ask(asked, node, hop.slice(), List.of(slice.keys())));
        }
        Duration first = weighedFrom.putIfAbsent(hop.slice(), now);
        if (first != null && now.minus(first).compareTo(limits.starved()) > 0) {
            weighedFrom.remove(hop.slice());
            return true;
        }
        return false;
    }

    private void verifying(List<Doing> doings, Migration one, Duration now) {
        if (missing(one)) {
            enter(doings, one, Stage.COPYING, now);
            return;
        }
        boolean all = true;
        for (Hop hop : one.hops) {
            if (!moved(hop)) {
                all &= verify(doings, one, move(hop), now);
            }
        }
        if (all) {
            write(doings, new Noted.Opening(one.id, layout().version, digest(one), now));
        }
    }

    /** True once both sides of the move agree. */
    private boolean verify(List<Doing> doings, Migration one, Move move, Duration now) {
        if (verified(one, move)) {
            return true;
        }
        Comparison comparison =
                comparisons.computeIfAbsent(
                        move.id,
                        id -> {
                            Move.Gain gain = move.gains.get(0);
                            return new Comparison(
                                    gain.source(),
                                    gain.node(),
                                    gain.slice(),
                                    gain.keys(),
                                    limits,
                                    now);
                        });
        if (comparison.sound()) {
            write(doings, new Noted.Verified(one.id, move.id, comparison.digest()));
            return true;
        }
        List<Doing> asks = comparison.step(++asked, now);
        doings.addAll(asks);
        return false;
    }

    /** Whether the move's two sides have been found the same. */
    protected boolean verified(Migration one, Move move) {
        return one.verified.containsKey(move.id);
    }

    private void switching(List<Doing> doings, Migration one, Duration now) {
        if (missing(one)) {
            enter(doings, one, Stage.COPYING, now);
            return;
        }
        boolean cut = one.hops.stream().allMatch(this::moved);
        if (cut) {
            long version = toBeTold.computeIfAbsent(one.id, id -> layout().version);
            if (allTold(version, now)) {
                enter(doings, one, Stage.WATCHED, now);
            }
        }
    }

    /** Whether no router can go by an older layout any more. */
    protected boolean allTold(long version, Duration now) {
        return routers.all(version, now);
    }

    private void rollingBack(List<Doing> doings, Migration one, Duration now) {
        boolean over = true;
        for (Hop hop : one.hops) {
            Move move = move(hop);
            if (move == null) {
                over &= !moved(hop);
                continue;
            }
            over = false;
            boolean forward = move.change.equals(hop.forward());
            if (forward && move.state != MoveState.ABANDONING && !move.turnsBack) {
                abandon(doings, move, one.rollbackWhy(), now);
            } else if (!forward
                    && move.state == MoveState.HOLDING_BOTH
                    && coordinator.gained(move, Order.HOLD)) {
                verify(doings, one, move, now);
            }
        }
        plan(doings, one, false, now);
        if (over) {
            enter(doings, one, Stage.ROLLED_BACK, now);
        }
    }

    // ---- causes to pause

    /** A cause that stands whatever has happened, and that resume waits for. */
    private Optional<Noted.Paused> standing(Migration one, Duration now) {
        if (one.stage() == Stage.PLANNED
                || one.stage().ordinal() > Stage.LAST_CHECKPOINT.ordinal()) {
            return Optional.empty();
        }
        for (Hop hop : one.hops) {
            Slice slice = layout().slice(hop.slice());
            // One that was never told of is waited for: a successor knows no node before the first
            // list.
            long sound =
                    slice.nodes().stream()
                            .filter(node -> coordinator.known(node) == null || ready(node))
                            .count();
            if (sound <= 1 && slice.nodes().size() > 1) {
                return paused(
                        one,
                        Cause.SHARD_THIN,
                        "slice " + hop.slice() + " has " + sound + " ready holders",
                        now);
            }
            Duration started = startedAt.get(hop.to());
            if (started != null && now.minus(started).compareTo(limits.cold()) < 0) {
                return paused(one, Cause.TARGET_COLD, "target " + hop.to() + " is cold", now);
            }
        }
        Double utility = utilities.get(one.member);
        if (utility != null && utility < limits.leastUtility() * one.utility) {
            return paused(
                    one,
                    Cause.UTILITY_FELL,
                    "utility of " + one.member + " fell to " + utility + " from " + one.utility,
                    now);
        }
        return Optional.empty();
    }

    /** A cause that an operator's resume makes good. */
    private Optional<Noted.Paused> happened(Migration one, Duration now) {
        for (Hop hop : one.hops) {
            Move move = move(hop);
            if (move == null) {
                continue;
            }
            if (one.stage() != Stage.ROLLING_BACK
                    && !COPIED_ANEW.equals(move.why)
                    && (move.state == MoveState.ABANDONING || move.turnsBack)) {
                return paused(
                        one,
                        Cause.MOVE_FAILED,
                        "move "
                                + move.id
                                + " of slice "
                                + hop.slice()
                                + " was abandoned: "
                                + move.why,
                        now);
            }
            Comparison comparison = comparisons.get(move.id);
            if (comparison != null && comparison.over() && !comparison.sound()) {
                return paused(
                        one,
                        Cause.DIFFERS,
                        "slice "
                                + hop.slice()
                                + " differs, keys "
                                + String.join("; ", comparison.differ()),
                        now);
            }
            boolean keepsUp =
                    move.state != MoveState.HOLDING_BOTH || coordinator.gained(move, Order.HOLD);
            if (keepsUp) {
                behindSince.remove(move.id);
            } else {
                behindSince.putIfAbsent(move.id, now);
            }
            // What stood still while no coordinator was there is given its time by the successor.
            Duration from =
                    move.state == MoveState.COPYING
                            ? later(bornAt, later(move.since, one.since()))
                            : behindSince.getOrDefault(
                                    move.id,
                                    comparison == null || verified(one, move)
                                            ? now
                                            : comparison.progressAt());
            if (now.minus(from).compareTo(limits.starved()) > 0) {
                return paused(
                        one,
                        Cause.STARVED,
                        "slice "
                                + hop.slice()
                                + " is not copied, kept up to date or compared "
                                + "at "
                                + move.gains.get(0).node()
                                + " since "
                                + now.minus(from).toMillis()
                                + " ms",
                        now);
            }
        }
        return Optional.empty();
    }

    private static Duration later(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    private static Optional<Noted.Paused> paused(
            Migration one, Cause cause, String why, Duration now) {
        return Optional.of(new Noted.Paused(one.id, cause, why, now));
    }

    private boolean ready(String node) {
        Target.Known known = coordinator.known(node);
        return known != null && known.readiness() == Readiness.READY;
    }

    // ---- the gate

    @Override
    public final boolean may(Move move, MoveState next) {
        Migration one = owner(move);
        if (one == null) {
            return true;
        }
        boolean forward = move.change.equals(one.hop(move.change.slices().get(0)).forward());
        boolean goes = !one.paused();
        return switch (next) {
            case COPYING, HOLDING_BOTH ->
                    goes
                            && (forward
                                    ? one.stage() == Stage.COPYING
                                    : one.stage() == Stage.ROLLING_BACK);
            case FENCED ->
                    goes
                            && verified(one, move)
                            && (forward
                                    ? one.stage() == Stage.SWITCHING
                                    : one.stage() == Stage.ROLLING_BACK);
            case FORGOTTEN ->
                    goes
                            && (forward
                                    ? one.stage() == Stage.RETIRING
                                    : one.stage() == Stage.ROLLING_BACK);
            default -> true;
        };
    }

    /** A migration's copy is never abandoned for its time: the migration pauses. */
    @Override
    public final boolean timed(Move move) {
        return owner(move) == null;
    }

    @Override
    public final Optional<String> reserved(Change change) {
        for (int slice : change.slices()) {
            Migration one = book.owning(slice);
            if (one != null) {
                Hop hop = one.hop(slice);
                boolean own =
                        one.stage() == Stage.COPYING && change.equals(hop.forward())
                                || one.stage() == Stage.ROLLING_BACK && change.equals(hop.back());
                if (!own) {
                    return Optional.of(
                            "slice "
                                    + slice
                                    + " belongs to migration "
                                    + one.id
                                    + " of "
                                    + one.member);
                }
            }
        }
        return Optional.empty();
    }

    private Migration owner(Move move) {
        Migration one = book.owning(move.change.slices().get(0));
        Hop hop = one == null ? null : one.hop(move.change.slices().get(0));
        return hop != null && (move.change.equals(hop.forward()) || move.change.equals(hop.back()))
                ? one
                : null;
    }

    // ---- what a hop stands at

    private Layout layout() {
        return coordinator.book().layout();
    }

    /** The move that is under way on the hop's slice; null where none is. */
    private Move move(Hop hop) {
        return coordinator.book().moves().stream()
                .filter(move -> move.change.slices().contains(hop.slice()))
                .findFirst()
                .orElse(null);
    }

    /** The layout in force has the new holder. */
    private boolean moved(Hop hop) {
        return layout().slice(hop.slice()).heldBy(hop.to());
    }

    private boolean holds(Hop hop) {
        Move move = move(hop);
        return move != null
                && move.state == MoveState.HOLDING_BOTH
                && coordinator.gained(move, Order.HOLD);
    }

    /** A hop that is not cut over has no move, or one that goes back. */
    private boolean missing(Migration one) {
        return one.hops.stream()
                .anyMatch(
                        hop ->
                                !moved(hop)
                                        && (move(hop) == null
                                                || move(hop).state == MoveState.ABANDONING));
    }

    private static boolean abandonable(Move move) {
        return !move.cutOver() && move.state != MoveState.ABANDONING;
    }

    private static String digest(Migration one) {
        MessageDigest sum = Comparison.sha256();
        // The form stays: digests are on disk, and operators name them.
        String verified =
                one.verified.entrySet().stream()
                        .map(entry -> entry.getKey() + "=" + entry.getValue())
                        .collect(Collectors.joining(", ", "{", "}"));
        // With the count of openings, so that an order for one that was open before is stale.
        sum.update(
                (one.id + " " + one.openings() + " " + verified).getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(sum.digest());
    }

    // ---- doings

    private void enter(List<Doing> doings, Migration one, Stage stage, Duration now) {
        write(doings, new Noted.Entered(one.id, stage, now));
    }

    private void abandon(List<Doing> doings, Move move, String why, Duration now) {
        of(doings, coordinator.abandon(move.id, why, now));
    }

    private void write(List<Doing> doings, Logged.Other record) {
        coordinator.book().apply(record);
        doings.add(new Doing.Of(new Act.Write(record)));
    }

    private static void of(List<Doing> doings, List<Act> acts) {
        acts.forEach(act -> doings.add(new Doing.Of(act)));
    }
}
