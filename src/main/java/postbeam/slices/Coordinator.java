package postbeam.slices;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import postbeam.state.Readiness;

/**
 * Decides how moves go on: when each begins, what its nodes are told, when it is cut over and when
 * it is abandoned. All that must outlive it is in the {@link Book}; whoever was told what and has
 * answered is not, since each order may come twice. So one that died goes on from its log: it tells
 * the nodes of each move under way what the state that is logged asks for, and an answer to what
 * its forerunner told is as good as one to its own.
 */
public final class Coordinator {
    /** What a node was told for a move: when last, and whether it has done it. */
    private static final class Told {
        Duration at;
        boolean done;
    }

    private record Key(String node, Order order, int slice) {}

    /** Moves of this number are none: what is told for them belongs to no move. */
    private static final long NO_MOVE = 0;

    /** Slices that a node is reminded of at once, until it has answered: its queue is bounded. */
    private static final int REMINDED_MOST = 64;

    private final Book book;
    private final MoveLimits limits;
    private final Map<Long, Map<Key, Told>> told = new HashMap<>();
    private final Map<String, Target.Known> nodes = new LinkedHashMap<>();

    /** Nodes that came onto the list and are to be told what they hold. */
    private final Map<String, Map<Key, Told>> reminded = new LinkedHashMap<>();

    private Gate gate = Gate.OPEN;

    public Coordinator(Book book, MoveLimits limits) {
        this.book = book;
        this.limits = limits;
    }

    public Book book() {
        return book;
    }

    /** From now on asked before moves go on. */
    public void gate(Gate next) {
        gate = next;
    }

    /** Whether a list of nodes has come yet. */
    public boolean listed() {
        return !nodes.isEmpty();
    }

    /** What is known of a node; null where nothing is. */
    public Target.Known known(String node) {
        return nodes.get(node);
    }

    /**
     * What discovery tells of data nodes; one that comes, or comes back, is told what it is to
     * serve.
     */
    public void listed(Map<String, Target.Known> list, List<String> started) {
        for (Map.Entry<String, Target.Known> entry : list.entrySet()) {
            Target.Known before = nodes.put(entry.getKey(), entry.getValue());
            boolean gone = entry.getValue().readiness() == Readiness.GONE;
            if (!gone
                    && (before == null
                            || before.readiness() == Readiness.GONE
                            || started.contains(entry.getKey()))) {
                reminded.put(entry.getKey(), new LinkedHashMap<>());
                told.values()
                        .forEach(
                                keys ->
                                        keys.keySet()
                                                .removeIf(
                                                        key -> key.node().equals(entry.getKey())));
            }
        }
    }

    // ---- what operators ask

    /** Why the change can't be planned now, in one line; empty where it can. */
    public Optional<String> problem(Change change) {
        for (int number : change.slices()) {
            if (book.layout().slice(number) == null) {
                return Optional.of("there is no slice " + number);
            }
            if (book.busy(number)) {
                return Optional.of("slice " + number + " is moving already");
            }
        }
        Optional<String> reserved = gate.reserved(change);
        if (reserved.isPresent()) {
            return reserved;
        }
        Layout then;
        try {
            then =
                    book.layout()
                            .after(change, births(change), book.nextVersion(), Duration.ZERO, 1);
        } catch (IllegalArgumentException e) {
            return Optional.of(e.getMessage());
        }
        if (change instanceof Change.Move move) {
            Target.Known to = nodes.get(move.to());
            if (move.to() != null && (to == null || to.readiness() == Readiness.GONE)) {
                return Optional.of("there is no node " + move.to());
            }
            if (move.to() != null && to.readiness() == Readiness.DRAINING) {
                return Optional.of("node " + move.to() + " is draining");
            }
            if (move.to() != null && source(move) == null) {
                return Optional.of("slice " + move.slice() + " has no holder left to copy from");
            }
            return weaker(book.layout().slice(move.slice()), then.slice(move.slice()));
        }
        return book.layout().slice(change.slices().get(0)).nodes().stream()
                .filter(this::gone)
                .findFirst()
                .map(
                        node ->
                                "holder "
                                        + node
                                        + " of slice "
                                        + change.slices().get(0)
                                        + " is gone: move it first");
    }

    /**
     * Why the slice would be worse off than it may be, among the holders that are not gone; what is
     * bad may get better.
     */
    private Optional<String> weaker(Slice before, Slice after) {
        List<String> had = before.nodes().stream().filter(node -> !gone(node)).toList();
        List<String> has = after.nodes().stream().filter(node -> !gone(node)).toList();
        if (has.size() < limits.holders() && has.size() < had.size()) {
            return Optional.of(
                    "slice "
                            + after.number()
                            + ": "
                            + has.size()
                            + " holders, at least "
                            + limits.holders()
                            + " are needed");
        }
        long zones = has.stream().map(this::zone).distinct().count();
        return zones < limits.zones() && zones < had.stream().map(this::zone).distinct().count()
                ? Optional.of(
                        "slice "
                                + after.number()
                                + ": holders in "
                                + zones
                                + " zones, at least "
                                + limits.zones()
                                + " are needed")
                : Optional.empty();
    }

    private String zone(String node) {
        Target.Known known = nodes.get(node);
        return known == null ? "" : known.zone();
    }

    /** Plans a change; an IllegalArgumentException says why not, and then nothing has changed. */
    public List<Act> plan(Change change, Duration now) {
        problem(change)
                .ifPresent(
                        problem -> {
                            throw new IllegalArgumentException(problem);
                        });
        List<Act> acts = new ArrayList<>();
        write(
                acts,
                new Logged.Planned(
                        book.nextMove(),
                        change,
                        births(change),
                        change instanceof Change.Move move && move.to() != null
                                ? source(move)
                                : null,
                        now));
        return acts;
    }

    /** What is wrong with a target, a line each; empty where it can be aimed at. */
    public List<String> problems(Target target) {
        return target.problems(nodes, limits.holders(), limits.zones());
    }

    /** From now on changes are planned that lead there; null: no further ones. */
    public List<Act> aim(Target target) {
        List<String> problems = target == null ? List.of() : problems(target);
        if (!problems.isEmpty()) {
            throw new IllegalArgumentException(problems.get(0));
        }
        List<Act> acts = new ArrayList<>();
        write(acts, new Logged.Aimed(target));
        return acts;
    }

    /** Takes a move back; one that is cut over is finished and its opposite planned. */
    public List<Act> abandon(long id, String why, Duration now) {
        Move move = book.move(id);
        if (move == null) {
            throw new IllegalArgumentException("no move " + id + " is under way");
        }
        if (move.state == MoveState.ABANDONING || move.turnsBack) {
            throw new IllegalArgumentException("move " + id + " is being abandoned already");
        }
        List<Act> acts = new ArrayList<>();
        abandon(acts, move, why, now);
        return acts;
    }

    private List<Integer> births(Change change) {
        List<Integer> births = new ArrayList<>();
        for (int i = 0; i < change.births(); i++) {
            births.add(book.nextSlice() + i);
        }
        return births;
    }

    /**
     * The node that hands a slice over: who lets it go, or another holder that is there; null where
     * none is.
     */
    private String source(Change.Move move) {
        if (move.from() != null && ready(move.from())) {
            return move.from();
        }
        List<String> holders = book.layout().slice(move.slice()).nodes();
        return holders.stream()
                .filter(this::ready)
                .findFirst()
                .or(() -> holders.stream().filter(node -> !gone(node)).findFirst())
                .orElse(null);
    }

    /**
     * Moves that would bring slices off nodes that are gone: for operators, who alone know that
     * these are dead.
     */
    public List<Change> mends() {
        Set<String> gone = new LinkedHashSet<>();
        nodes.keySet().stream().filter(this::gone).forEach(gone::add);
        List<Change> mends =
                new ArrayList<>(
                        Placement.repairs(
                                book.layout(), nodes, gone, book.busy(), 2 * limits.most()));
        mends.removeIf(change -> problem(change).isPresent());
        return mends;
    }

    // ---- what time and nodes bring

    /** A node has answered an order; one for a move that is no more is passed over. */
    public void done(long id, String node, Order order, int slice) {
        Map<Key, Told> keys =
                id == NO_MOVE && order == Order.SERVE ? reminded.get(node) : told.get(id);
        Told one = keys == null ? null : keys.get(new Key(node, order, slice));
        if (one != null) {
            one.done = true;
        }
    }

    /** What is to be done now. */
    public List<Act> tick(Duration now) {
        List<Act> acts = new ArrayList<>();
        for (Move move : List.copyOf(book.moves())) {
            MoveState before;
            do {
                before = move.state;
                step(acts, move, now);
            } while (move.state != before && !move.state.over());
        }
        if (book.target() != null) {
            planAll(acts, Planner.next(book.layout(), book.target(), book.busy()), now);
        }
        told.keySet().removeIf(id -> id != NO_MOVE && book.move(id) == null);
        collect(acts, now);
        remind(acts, now);
        return acts;
    }

    /** As many as there is room for; the others are found again at the next tick. */
    private void planAll(List<Act> acts, List<Change> changes, Duration now) {
        for (Change change : changes) {
            if (book.moves().stream().filter(move -> !idle(move)).count() < 2L * limits.most()
                    && problem(change).isEmpty()) {
                acts.addAll(plan(change, now));
            }
        }
    }

    /** It waits for others' say, and needs nothing of its nodes but what they do all the time. */
    private boolean idle(Move move) {
        return move.state == MoveState.HOLDING_BOTH && !gate.may(move, MoveState.FENCED)
                || move.state == MoveState.CUT_OVER
                        && !move.turnsBack
                        && !gate.may(move, MoveState.FORGOTTEN);
    }

    /** Each node that gains by the move has done this order lately told. */
    public boolean gained(Move move, Order order) {
        return move.gains.stream()
                .allMatch(
                        gain -> {
                            Told one =
                                    told.getOrDefault(move.id, Map.of())
                                            .get(new Key(gain.node(), order, gain.slice()));
                            return one != null && one.done;
                        });
    }

    private void step(List<Act> acts, Move move, Duration now) {
        boolean copying = move.state == MoveState.COPYING || move.state == MoveState.HOLDING_BOTH;
        boolean late =
                now.minus(move.since)
                                        .compareTo(
                                                move.state == MoveState.COPYING
                                                        ? limits.copyMost()
                                                        : limits.stepMost())
                                > 0
                        && (!copying || gate.timed(move));
        switch (move.state) {
            case PLANNED -> {
                if (lost(move) != null) {
                    abandon(acts, move, "node " + lost(move) + " is gone", now);
                } else if (mayBegin(move, now) && gate.may(move, MoveState.COPYING)) {
                    advance(acts, move, MoveState.COPYING, now);
                }
            }
            case COPYING -> {
                if (lost(move) != null || late) {
                    abandon(
                            acts,
                            move,
                            late ? "the copy is stuck" : "node " + lost(move) + " is gone",
                            now);
                } else if (gate.may(move, MoveState.HOLDING_BOTH)
                        && gains(acts, move, Order.COPY, now)) {
                    advance(acts, move, MoveState.HOLDING_BOTH, now);
                }
            }
            case HOLDING_BOTH -> {
                if (lost(move) != null || late) {
                    abandon(
                            acts,
                            move,
                            late ? "nodes don't keep up" : "node " + lost(move) + " is gone",
                            now);
                } else if (gains(acts, move, Order.HOLD, now) && gate.may(move, MoveState.FENCED)) {
                    advance(acts, move, MoveState.FENCED, now);
                }
            }
            case FENCED -> fenced(acts, move, late, now);
            case CUT_OVER -> {
                if (move.turnsBack && move.change instanceof Change.Move) {
                    // What the old holders have is wanted again: the opposite move copies onto it,
                    // and owes no drop.
                    move.losses.forEach(loss -> write(acts, new Logged.Owed(loss, true)));
                    advance(acts, move, MoveState.FORGOTTEN, now);
                    turnBack(acts, move, now);
                    return;
                }
                if (!gate.may(move, MoveState.FORGOTTEN)) {
                    return;
                }
                // Who does not answer is told again when it is there: what it was fenced from harms
                // nobody so long.
                if (losses(acts, move, Order.DROP, now) || late) {
                    move.losses.stream()
                            .filter(loss -> !done(move.id, loss, Order.DROP))
                            .forEach(loss -> write(acts, new Logged.Owed(loss, true)));
                    advance(acts, move, MoveState.FORGOTTEN, now);
                    turnBack(acts, move, now);
                }
            }
            case ABANDONING -> {
                boolean dropped = gains(acts, move, Order.DROP, now) || late;
                // Until each old holder takes the slice again: one that stays fenced would be a
                // holder in name.
                if ((!move.fenced || losses(acts, move, Order.SERVE, now)) && dropped) {
                    write(acts, new Logged.Back(move.id, book.nextVersion(), now));
                    acts.add(new Act.Publish(book.layout()));
                }
            }
            default -> {}
        }
    }

    /**
     * Fences first, then lets the new holders serve, then cuts over: at no time do two versions
     * take calls for a slice that changes hands. A source that dies once it is fenced is not needed
     * any more.
     */
    private void fenced(List<Act> acts, Move move, boolean late, Duration now) {
        boolean fenced = true;
        for (Move.Loss loss : move.losses) {
            boolean done =
                    tell(
                            acts,
                            move,
                            loss.node(),
                            Order.FENCE,
                            loss.slice(),
                            loss.keys(),
                            null,
                            now);
            if (!done && gone(loss.node()) && !gone(move, loss.node())) {
                // Perhaps it is only cut off from here, and still takes calls of the old version.
                abandon(acts, move, "node " + loss.node() + " is gone before it was fenced", now);
                return;
            }
            fenced &= done || gone(loss.node());
        }
        String target =
                move.gains.stream()
                        .map(Move.Gain::node)
                        .filter(this::gone)
                        .findFirst()
                        .orElse(null);
        if (target != null || late) {
            abandon(
                    acts,
                    move,
                    late ? "nodes don't answer while it is fenced" : "node " + target + " is gone",
                    now);
        } else if (fenced && gains(acts, move, Order.SERVE, now)) {
            write(acts, new Logged.CutOver(move.id, book.nextVersion(), now));
            acts.add(new Act.Publish(book.layout()));
        }
    }

    private void turnBack(List<Act> acts, Move move, Duration now) {
        if (!move.turnsBack) {
            return;
        }
        Change back =
                move.change instanceof Change.Move moved
                        ? new Change.Move(moved.slice(), moved.to(), moved.from())
                        : move.change instanceof Change.Split
                                ? new Change.Merge(move.births)
                                : new Change.Split(move.births.get(0), inner(move));
        if (problem(back).isEmpty()) {
            acts.addAll(plan(back, now));
        }
    }

    /** Where the slices that a merge joined met. */
    private static List<Long> inner(Move merge) {
        String node = merge.losses.get(0).node();
        return merge.losses.stream()
                .filter(loss -> loss.node().equals(node))
                .skip(1)
                .map(loss -> loss.keys().from())
                .toList();
    }

    // ---- when a move may begin

    /** A node without which a move can't go on, and that is gone; null where there is none. */
    private String lost(Move move) {
        for (Move.Gain gain : move.gains) {
            if (gone(gain.node())) {
                return gain.node();
            }
            if (gone(gain.source())) {
                return gain.source();
            }
        }
        // To take a slice from a node that is gone is what a move with another source is for.
        return null;
    }

    /** It was planned without this node: what it held was lost already. */
    private static boolean gone(Move move, String node) {
        return move.change instanceof Change.Move
                && move.gains.stream().noneMatch(gain -> gain.source().equals(node));
    }

    private boolean mayBegin(Move move, Duration now) {
        int inAll = 0;
        Map<String, Integer> byNode = new HashMap<>();
        Map<String, Integer> byZone = new HashMap<>();
        for (Move other : book.moves()) {
            if (other.state != MoveState.PLANNED && !idle(other)) {
                inAll++;
                other.nodes().forEach(node -> byNode.merge(node, 1, Integer::sum));
                zones(other).forEach(zone -> byZone.merge(zone, 1, Integer::sum));
            }
        }
        return inAll < limits.most()
                && move.nodes().stream()
                        .allMatch(node -> byNode.getOrDefault(node, 0) < limits.mostANode())
                && zones(move).stream()
                        .allMatch(zone -> byZone.getOrDefault(zone, 0) < limits.mostAZone())
                && move.gains.stream()
                        .allMatch(
                                gain ->
                                        ready(gain.source())
                                                && ready(gain.node())
                                                && (gain.node().equals(gain.source())
                                                        || rested(gain.node(), now)));
    }

    private List<String> zones(Move move) {
        return move.nodes().stream()
                .map(nodes::get)
                .filter(node -> node != null)
                .map(Target.Known::zone)
                .distinct()
                .toList();
    }

    /**
     * Guards against a node that is given slice after slice while it is still cold with the last.
     */
    private boolean rested(String node, Duration now) {
        for (Slice slice : book.layout().slices()) {
            for (Holder holder : slice.holders()) {
                if (holder.node().equals(node)
                        && now.minus(holder.tookAt()).compareTo(limits.rest()) < 0) {
                    return false;
                }
            }
        }
        return true;
    }

    private boolean ready(String node) {
        Target.Known known = nodes.get(node);
        return known != null && known.readiness() == Readiness.READY;
    }

    /** It was listed once and is no more; one that was never told of is waited for. */
    private boolean gone(String node) {
        Target.Known known = nodes.get(node);
        return known != null && known.readiness() == Readiness.GONE;
    }

    // ---- acts

    private void write(List<Act> acts, Logged record) {
        book.apply(record);
        acts.add(new Act.Write(record));
    }

    private void advance(List<Act> acts, Move move, MoveState state, Duration now) {
        write(acts, new Logged.Advanced(move.id, state, now));
    }

    private void abandon(List<Act> acts, Move move, String why, Duration now) {
        write(acts, new Logged.Abandoning(move.id, why, now));
    }

    /** True once all who gain have done it. */
    private boolean gains(List<Act> acts, Move move, Order order, Duration now) {
        return all(
                move.gains,
                gain ->
                        tell(
                                        acts,
                                        move,
                                        gain.node(),
                                        order,
                                        gain.slice(),
                                        gain.keys(),
                                        gain.source(),
                                        now)
                                || order == Order.DROP && gone(gain.node()));
    }

    /** True once all who lose have done it, but for those that are gone. */
    private boolean losses(List<Act> acts, Move move, Order order, Duration now) {
        return all(
                move.losses,
                loss ->
                        tell(acts, move, loss.node(), order, loss.slice(), loss.keys(), null, now)
                                || gone(loss.node()));
    }

    private static <T> boolean all(List<T> list, Function<T, Boolean> each) {
        boolean all = true;
        for (T one : list) {
            all &= each.apply(one);
        }
        return all;
    }

    private boolean tell(
            List<Act> acts,
            Move move,
            String node,
            Order order,
            int slice,
            KeyRange keys,
            String source,
            Duration now) {
        return tell(
                acts,
                told.computeIfAbsent(move.id, id -> new HashMap<>()),
                move.id,
                node,
                order,
                slice,
                keys,
                book.nextVersion(),
                source,
                now);
    }

    /** Tells it where it has not been told lately; true once it has been done. */
    private boolean tell(
            List<Act> acts,
            Map<Key, Told> keysTold,
            long move,
            String node,
            Order order,
            int slice,
            KeyRange keys,
            long version,
            String source,
            Duration now) {
        Told one = keysTold.computeIfAbsent(new Key(node, order, slice), key -> new Told());
        if (!one.done
                && !gone(node)
                && (one.at == null || now.minus(one.at).compareTo(limits.againEvery()) >= 0)) {
            one.at = now;
            acts.add(new Act.Tell(move, node, order, slice, keys, version, source));
        }
        return one.done;
    }

    private boolean done(long move, Move.Loss loss, Order order) {
        Told one = told.getOrDefault(move, Map.of()).get(new Key(loss.node(), order, loss.slice()));
        return one != null && one.done;
    }

    /**
     * Guards against a node that was gone while a slice was taken off it: when it is back it still
     * thinks that it holds it, and would serve old data to a router that is as far behind. It is
     * told to drop it first of all.
     */
    private void collect(List<Act> acts, Duration now) {
        for (Move.Loss loss : List.copyOf(book.owed())) {
            if (tell(
                    acts,
                    told.computeIfAbsent(NO_MOVE, id -> new HashMap<>()),
                    NO_MOVE,
                    loss.node(),
                    Order.DROP,
                    loss.slice(),
                    loss.keys(),
                    0,
                    null,
                    now)) {
                told.get(NO_MOVE).remove(new Key(loss.node(), Order.DROP, loss.slice()));
                write(acts, new Logged.Owed(loss, false));
            }
        }
    }

    /**
     * Guards against a node that comes back and knows nothing of what it is to serve, or never
     * heard that a move was abandoned: it is told of each slice that the layout in force gives it
     * and that no move is about.
     */
    private void remind(List<Act> acts, Duration now) {
        reminded.entrySet()
                .removeIf(
                        entry -> {
                            boolean all = true;
                            int open = 0;
                            for (Slice slice : book.layout().slices()) {
                                if (!slice.heldBy(entry.getKey()) || open >= REMINDED_MOST) {
                                    continue;
                                }
                                // What a move is about is reminded of once that is over.
                                boolean moving =
                                        book.moves().stream()
                                                .anyMatch(
                                                        move ->
                                                                (move.change
                                                                                        .slices()
                                                                                        .contains(
                                                                                                slice
                                                                                                        .number())
                                                                                || move.births
                                                                                        .contains(
                                                                                                slice
                                                                                                        .number()))
                                                                        && !idle(move));
                                boolean done =
                                        !moving
                                                && tell(
                                                        acts,
                                                        entry.getValue(),
                                                        NO_MOVE,
                                                        entry.getKey(),
                                                        Order.SERVE,
                                                        slice.number(),
                                                        slice.keys(),
                                                        slice.bornIn(),
                                                        null,
                                                        now);
                                open += done ? 0 : 1;
                                all &= done;
                            }
                            return all || gone(entry.getKey());
                        });
    }
}
