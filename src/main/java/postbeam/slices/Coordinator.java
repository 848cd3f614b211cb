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
import postbeam.model.Readiness;

/**
 * Decides how moves go on: when each begins, what its nodes are told, when it is cut over and when
 * it is abandoned. All that must outlive it is in the {@link MoveJournalState}; whoever was told
 * what and has answered is not, since each order may come twice. So one that died goes on from its
 * log: it tells the nodes of each move under way what the state that is logged asks for, and an
 * answer to what its forerunner told is as good as one to its own.
 */
public final class Coordinator {
    /** What a node was told for a move: when last, and whether it has done it. */
    private static final class Delivery {
        Duration sentAt;
        boolean acknowledged;
    }

    private record CommandKey(String node, HandoffCommand command, int slice) {}

    /** Moves of this number are none: what is told for them belongs to no move. */
    private static final long NO_MOVE = 0;

    /** Slices that a node is reminded of at once, until it has answered: its queue is bounded. */
    private static final int MAX_REMINDERS_IN_FLIGHT = 64;

    private final MoveJournalState journalState;
    private final MoveLimits limits;
    private final Map<Long, Map<CommandKey, Delivery>> deliveries = new HashMap<>();
    private final Map<String, TargetLayout.NodeInfo> nodes = new LinkedHashMap<>();

    /** Nodes that came onto the list and are to be told what they hold. */
    private final Map<String, Map<CommandKey, Delivery>> pendingReminders = new LinkedHashMap<>();

    private MoveAdmission setAdmission = MoveAdmission.UNRESTRICTED;

    public Coordinator(MoveJournalState journalState, MoveLimits limits) {
        this.journalState = journalState;
        this.limits = limits;
    }

    public MoveJournalState state() {
        return journalState;
    }

    /** From now on asked before moves go on. */
    public void setAdmission(MoveAdmission next) {
        setAdmission = next;
    }

    /** Whether a list of nodes has come yet. */
    public boolean hasNodeList() {
        return !nodes.isEmpty();
    }

    /** What is known of a node; null where nothing is. */
    public TargetLayout.NodeInfo nodeInfo(String node) {
        return nodes.get(node);
    }

    /**
     * What discovery tells of data nodes; one that comes, or comes back, is told what it is to
     * serve.
     */
    public void onNodesListed(Map<String, TargetLayout.NodeInfo> list, List<String> started) {
        for (Map.Entry<String, TargetLayout.NodeInfo> entry : list.entrySet()) {
            TargetLayout.NodeInfo before = nodes.put(entry.getKey(), entry.getValue());
            boolean gone = entry.getValue().readiness() == Readiness.REMOVED;
            if (!gone
                    && (before == null
                            || before.readiness() == Readiness.REMOVED
                            || started.contains(entry.getKey()))) {
                pendingReminders.put(entry.getKey(), new LinkedHashMap<>());
                deliveries
                        .values()
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
    public Optional<String> rejectionReason(LayoutChange change) {
        for (int number : change.slices()) {
            if (journalState.layout().slice(number) == null) {
                return Optional.of("there is no slice " + number);
            }
            if (journalState.busy(number)) {
                return Optional.of("slice " + number + " is moving already");
            }
        }
        Optional<String> reserved = setAdmission.reservationConflict(change);
        if (reserved.isPresent()) {
            return reserved;
        }
        Layout then;
        try {
            then =
                    journalState
                            .layout()
                            .withChange(
                                    change,
                                    allocateSliceNumbers(change),
                                    journalState.nextVersion(),
                                    Duration.ZERO,
                                    1);
        } catch (IllegalArgumentException e) {
            return Optional.of(e.getMessage());
        }
        if (change instanceof LayoutChange.Transfer move) {
            TargetLayout.NodeInfo to = nodes.get(move.to());
            if (move.to() != null && (to == null || to.readiness() == Readiness.REMOVED)) {
                return Optional.of("there is no node " + move.to());
            }
            if (move.to() != null && to.readiness() == Readiness.DRAINING) {
                return Optional.of("node " + move.to() + " is draining");
            }
            if (move.to() != null && copySource(move) == null) {
                return Optional.of("slice " + move.slice() + " has no holder left to copy from");
            }
            return replicationProblem(
                    journalState.layout().slice(move.slice()), then.slice(move.slice()));
        }
        return journalState.layout().slice(change.slices().get(0)).nodes().stream()
                .filter(this::isGone)
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
    private Optional<String> replicationProblem(Slice before, Slice after) {
        List<String> had = before.nodes().stream().filter(node -> !isGone(node)).toList();
        List<String> has = after.nodes().stream().filter(node -> !isGone(node)).toList();
        if (has.size() < limits.minHolders() && has.size() < had.size()) {
            return Optional.of(
                    "slice "
                            + after.number()
                            + ": "
                            + has.size()
                            + " holders, at least "
                            + limits.minHolders()
                            + " are needed");
        }
        long zones = has.stream().map(this::zone).distinct().count();
        return zones < limits.minZones() && zones < had.stream().map(this::zone).distinct().count()
                ? Optional.of(
                        "slice "
                                + after.number()
                                + ": holders in "
                                + zones
                                + " zones, at least "
                                + limits.minZones()
                                + " are needed")
                : Optional.empty();
    }

    private String zone(String node) {
        TargetLayout.NodeInfo known = nodes.get(node);
        return known == null ? "" : known.zone();
    }

    /** Plans a change; an IllegalArgumentException says why not, and then nothing has changed. */
    public List<CoordinatorAction> plan(LayoutChange change, Duration now) {
        rejectionReason(change)
                .ifPresent(
                        problem -> {
                            throw new IllegalArgumentException(problem);
                        });
        List<CoordinatorAction> acts = new ArrayList<>();
        append(
                acts,
                new JournalRecord.Planned(
                        journalState.nextMove(),
                        change,
                        allocateSliceNumbers(change),
                        change instanceof LayoutChange.Transfer move && move.to() != null
                                ? copySource(move)
                                : null,
                        now));
        return acts;
    }

    /** What is wrong with a target, a line each; empty where it can be aimed at. */
    public List<String> targetProblems(TargetLayout targetLayout) {
        return targetLayout.problems(nodes, limits.minHolders(), limits.minZones());
    }

    /** From now on changes are planned that lead there; null: no further ones. */
    public List<CoordinatorAction> setTarget(TargetLayout targetLayout) {
        List<String> problems = targetLayout == null ? List.of() : targetProblems(targetLayout);
        if (!problems.isEmpty()) {
            throw new IllegalArgumentException(problems.get(0));
        }
        List<CoordinatorAction> acts = new ArrayList<>();
        append(acts, new JournalRecord.TargetSet(targetLayout));
        return acts;
    }

    /** Takes a move back; one that is cut over is finished and its opposite planned. */
    public List<CoordinatorAction> abandon(long id, String why, Duration now) {
        Move move = journalState.move(id);
        if (move == null) {
            throw new IllegalArgumentException("no move " + id + " is under way");
        }
        if (move.state == MoveState.ABANDONING || move.reverseWhenDone) {
            throw new IllegalArgumentException("move " + id + " is being abandoned already");
        }
        List<CoordinatorAction> acts = new ArrayList<>();
        abandon(acts, move, why, now);
        return acts;
    }

    private List<Integer> allocateSliceNumbers(LayoutChange change) {
        List<Integer> births = new ArrayList<>();
        for (int i = 0; i < change.newSliceCount(); i++) {
            births.add(journalState.nextSlice() + i);
        }
        return births;
    }

    /**
     * The node that hands a slice over: who lets it go, or another holder that is there; null where
     * none is.
     */
    private String copySource(LayoutChange.Transfer move) {
        if (move.from() != null && isReady(move.from())) {
            return move.from();
        }
        List<String> holders = journalState.layout().slice(move.slice()).nodes();
        return holders.stream()
                .filter(this::isReady)
                .findFirst()
                .or(() -> holders.stream().filter(node -> !isGone(node)).findFirst())
                .orElse(null);
    }

    /**
     * Moves that would bring slices off nodes that are gone: for operators, who alone know that
     * these are dead.
     */
    public List<LayoutChange> repairs() {
        Set<String> gone = new LinkedHashSet<>();
        nodes.keySet().stream().filter(this::isGone).forEach(gone::add);
        List<LayoutChange> mends =
                new ArrayList<>(
                        SlicePlacement.repairs(
                                journalState.layout(),
                                nodes,
                                gone,
                                journalState.busy(),
                                2 * limits.maxMoves()));
        mends.removeIf(change -> rejectionReason(change).isPresent());
        return mends;
    }

    // ---- what time and nodes bring

    /** A node has answered an order; one for a move that is no more is passed over. */
    public void acknowledged(long id, String node, HandoffCommand command, int slice) {
        Map<CommandKey, Delivery> keys =
                id == NO_MOVE && command == HandoffCommand.SERVE
                        ? pendingReminders.get(node)
                        : deliveries.get(id);
        Delivery one = keys == null ? null : keys.get(new CommandKey(node, command, slice));
        if (one != null) {
            one.acknowledged = true;
        }
    }

    /** What is to be done now. */
    public List<CoordinatorAction> tick(Duration now) {
        List<CoordinatorAction> acts = new ArrayList<>();
        for (Move move : List.copyOf(journalState.activeMoves())) {
            MoveState before;
            do {
                before = move.state;
                step(acts, move, now);
            } while (move.state != before && !move.state.isFinal());
        }
        if (journalState.target() != null) {
            planChanges(
                    acts,
                    Planner.nextChanges(
                            journalState.layout(), journalState.target(), journalState.busy()),
                    now);
        }
        deliveries.keySet().removeIf(id -> id != NO_MOVE && journalState.move(id) == null);
        sendPendingDrops(acts, now);
        remindNodes(acts, now);
        return acts;
    }

    /** As many as there is room for; the others are found again at the next tick. */
    private void planChanges(
            List<CoordinatorAction> acts, List<LayoutChange> changes, Duration now) {
        for (LayoutChange change : changes) {
            if (journalState.activeMoves().stream().filter(move -> !awaitsApproval(move)).count()
                            < 2L * limits.maxMoves()
                    && rejectionReason(change).isEmpty()) {
                acts.addAll(plan(change, now));
            }
        }
    }

    /** It waits for others' say, and needs nothing of its nodes but what they do all the time. */
    private boolean awaitsApproval(Move move) {
        return move.state == MoveState.REPLICATING && !setAdmission.permits(move, MoveState.FENCED)
                || move.state == MoveState.CUT_OVER
                        && !move.reverseWhenDone
                        && !setAdmission.permits(move, MoveState.COMPLETED);
    }

    /** Each node that gains by the move has done this order lately told. */
    public boolean destinationsAcknowledged(Move move, HandoffCommand command) {
        return move.destinations.stream()
                .allMatch(
                        gain -> {
                            Delivery one =
                                    deliveries
                                            .getOrDefault(move.id, Map.of())
                                            .get(
                                                    new CommandKey(
                                                            gain.node(), command, gain.slice()));
                            return one != null && one.acknowledged;
                        });
    }

    private void step(List<CoordinatorAction> acts, Move move, Duration now) {
        boolean copying = move.state == MoveState.COPYING || move.state == MoveState.REPLICATING;
        boolean late =
                now.minus(move.stateSince)
                                        .compareTo(
                                                move.state == MoveState.COPYING
                                                        ? limits.copyTimeout()
                                                        : limits.stepTimeout())
                                > 0
                        && (!copying || setAdmission.copyTimeoutApplies(move));
        switch (move.state) {
            case PLANNED -> {
                if (missingNode(move) != null) {
                    abandon(acts, move, "node " + missingNode(move) + " is gone", now);
                } else if (mayStart(move, now) && setAdmission.permits(move, MoveState.COPYING)) {
                    advance(acts, move, MoveState.COPYING, now);
                }
            }
            case COPYING -> {
                if (missingNode(move) != null || late) {
                    abandon(
                            acts,
                            move,
                            late ? "the copy is stuck" : "node " + missingNode(move) + " is gone",
                            now);
                } else if (setAdmission.permits(move, MoveState.REPLICATING)
                        && commandDestinations(acts, move, HandoffCommand.COPY, now)) {
                    advance(acts, move, MoveState.REPLICATING, now);
                }
            }
            case REPLICATING -> {
                if (missingNode(move) != null || late) {
                    abandon(
                            acts,
                            move,
                            late ? "nodes don't keep up" : "node " + missingNode(move) + " is gone",
                            now);
                } else if (commandDestinations(acts, move, HandoffCommand.HOLD, now)
                        && setAdmission.permits(move, MoveState.FENCED)) {
                    advance(acts, move, MoveState.FENCED, now);
                }
            }
            case FENCED -> advanceFenced(acts, move, late, now);
            case CUT_OVER -> {
                if (move.reverseWhenDone && move.change instanceof LayoutChange.Transfer) {
                    // What the old holders have is wanted again: the opposite move copies onto it,
                    // and owes no drop.
                    move.oldHolders.forEach(
                            loss -> append(acts, new JournalRecord.PendingDrop(loss, true)));
                    advance(acts, move, MoveState.COMPLETED, now);
                    planReverse(acts, move, now);
                    return;
                }
                if (!setAdmission.permits(move, MoveState.COMPLETED)) {
                    return;
                }
                // Who does not answer is told again when it is there: what it was fenced from harms
                // nobody so long.
                if (commandOldHolders(acts, move, HandoffCommand.DROP, now) || late) {
                    move.oldHolders.stream()
                            .filter(loss -> !acknowledged(move.id, loss, HandoffCommand.DROP))
                            .forEach(
                                    loss ->
                                            append(
                                                    acts,
                                                    new JournalRecord.PendingDrop(loss, true)));
                    advance(acts, move, MoveState.COMPLETED, now);
                    planReverse(acts, move, now);
                }
            }
            case ABANDONING -> {
                boolean dropped = commandDestinations(acts, move, HandoffCommand.DROP, now) || late;
                // Until each old holder takes the slice again: one that stays fenced would be a
                // holder in name.
                if ((!move.mayBeFenced || commandOldHolders(acts, move, HandoffCommand.SERVE, now))
                        && dropped) {
                    append(
                            acts,
                            new JournalRecord.RolledBack(move.id, journalState.nextVersion(), now));
                    acts.add(new CoordinatorAction.PublishLayout(journalState.layout()));
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
    private void advanceFenced(
            List<CoordinatorAction> acts, Move move, boolean late, Duration now) {
        boolean fenced = true;
        for (Move.OldHolder loss : move.oldHolders) {
            boolean done =
                    sendCommand(
                            acts,
                            move,
                            loss.node(),
                            HandoffCommand.FENCE,
                            loss.slice(),
                            loss.keys(),
                            null,
                            now);
            if (!done && isGone(loss.node()) && !isGone(move, loss.node())) {
                // Perhaps it is only cut off from here, and still takes calls of the old version.
                abandon(acts, move, "node " + loss.node() + " is gone before it was fenced", now);
                return;
            }
            fenced &= done || isGone(loss.node());
        }
        String target =
                move.destinations.stream()
                        .map(Move.Destination::node)
                        .filter(this::isGone)
                        .findFirst()
                        .orElse(null);
        if (target != null || late) {
            abandon(
                    acts,
                    move,
                    late ? "nodes don't answer while it is fenced" : "node " + target + " is gone",
                    now);
        } else if (fenced && commandDestinations(acts, move, HandoffCommand.SERVE, now)) {
            append(acts, new JournalRecord.CutOver(move.id, journalState.nextVersion(), now));
            acts.add(new CoordinatorAction.PublishLayout(journalState.layout()));
        }
    }

    private void planReverse(List<CoordinatorAction> acts, Move move, Duration now) {
        if (!move.reverseWhenDone) {
            return;
        }
        LayoutChange back =
                move.change instanceof LayoutChange.Transfer moved
                        ? new LayoutChange.Transfer(moved.slice(), moved.to(), moved.from())
                        : move.change instanceof LayoutChange.Split
                                ? new LayoutChange.Merge(move.newSlices)
                                : new LayoutChange.Split(
                                        move.newSlices.get(0), mergeBoundaries(move));
        if (rejectionReason(back).isEmpty()) {
            acts.addAll(plan(back, now));
        }
    }

    /** Where the slices that a merge joined met. */
    private static List<Long> mergeBoundaries(Move merge) {
        String node = merge.oldHolders.get(0).node();
        return merge.oldHolders.stream()
                .filter(loss -> loss.node().equals(node))
                .skip(1)
                .map(loss -> loss.keys().from())
                .toList();
    }

    // ---- when a move may begin

    /** A node without which a move can't go on, and that is gone; null where there is none. */
    private String missingNode(Move move) {
        for (Move.Destination gain : move.destinations) {
            if (isGone(gain.node())) {
                return gain.node();
            }
            if (isGone(gain.source())) {
                return gain.source();
            }
        }
        // To take a slice from a node that is gone is what a move with another source is for.
        return null;
    }

    /** It was planned without this node: what it held was lost already. */
    private static boolean isGone(Move move, String node) {
        return move.change instanceof LayoutChange.Transfer
                && move.destinations.stream().noneMatch(gain -> gain.source().equals(node));
    }

    private boolean mayStart(Move move, Duration now) {
        int inAll = 0;
        Map<String, Integer> byNode = new HashMap<>();
        Map<String, Integer> byZone = new HashMap<>();
        for (Move other : journalState.activeMoves()) {
            if (other.state != MoveState.PLANNED && !awaitsApproval(other)) {
                inAll++;
                other.requiredNodes().forEach(node -> byNode.merge(node, 1, Integer::sum));
                zones(other).forEach(zone -> byZone.merge(zone, 1, Integer::sum));
            }
        }
        return inAll < limits.maxMoves()
                && move.requiredNodes().stream()
                        .allMatch(node -> byNode.getOrDefault(node, 0) < limits.maxMovesPerNode())
                && zones(move).stream()
                        .allMatch(zone -> byZone.getOrDefault(zone, 0) < limits.maxMovesPerZone())
                && move.destinations.stream()
                        .allMatch(
                                gain ->
                                        isReady(gain.source())
                                                && isReady(gain.node())
                                                && (gain.node().equals(gain.source())
                                                        || cooledDown(gain.node(), now)));
    }

    private List<String> zones(Move move) {
        return move.requiredNodes().stream()
                .map(nodes::get)
                .filter(node -> node != null)
                .map(TargetLayout.NodeInfo::zone)
                .distinct()
                .toList();
    }

    /**
     * Guards against a node that is given slice after slice while it is still cold with the last.
     */
    private boolean cooledDown(String node, Duration now) {
        for (Slice slice : journalState.layout().slices()) {
            for (Holder holder : slice.holders()) {
                if (holder.node().equals(node)
                        && now.minus(holder.acquiredAt()).compareTo(limits.nodeCooldown()) < 0) {
                    return false;
                }
            }
        }
        return true;
    }

    private boolean isReady(String node) {
        TargetLayout.NodeInfo known = nodes.get(node);
        return known != null && known.readiness() == Readiness.READY;
    }

    /** It was listed once and is no more; one that was never told of is waited for. */
    private boolean isGone(String node) {
        TargetLayout.NodeInfo known = nodes.get(node);
        return known != null && known.readiness() == Readiness.REMOVED;
    }

    // ---- acts

    private void append(List<CoordinatorAction> acts, JournalRecord record) {
        journalState.apply(record);
        acts.add(new CoordinatorAction.AppendRecord(record));
    }

    private void advance(List<CoordinatorAction> acts, Move move, MoveState state, Duration now) {
        append(acts, new JournalRecord.Advanced(move.id, state, now));
    }

    private void abandon(List<CoordinatorAction> acts, Move move, String why, Duration now) {
        append(acts, new JournalRecord.AbandonRequested(move.id, why, now));
    }

    /** True once all who gain have done it. */
    private boolean commandDestinations(
            List<CoordinatorAction> acts, Move move, HandoffCommand command, Duration now) {
        return all(
                move.destinations,
                gain ->
                        sendCommand(
                                        acts,
                                        move,
                                        gain.node(),
                                        command,
                                        gain.slice(),
                                        gain.keys(),
                                        gain.source(),
                                        now)
                                || command == HandoffCommand.DROP && isGone(gain.node()));
    }

    /** True once all who lose have done it, but for those that are gone. */
    private boolean commandOldHolders(
            List<CoordinatorAction> acts, Move move, HandoffCommand command, Duration now) {
        return all(
                move.oldHolders,
                loss ->
                        sendCommand(
                                        acts,
                                        move,
                                        loss.node(),
                                        command,
                                        loss.slice(),
                                        loss.keys(),
                                        null,
                                        now)
                                || isGone(loss.node()));
    }

    private static <T> boolean all(List<T> list, Function<T, Boolean> each) {
        boolean all = true;
        for (T one : list) {
            all &= each.apply(one);
        }
        return all;
    }

    private boolean sendCommand(
            List<CoordinatorAction> acts,
            Move move,
            String node,
            HandoffCommand command,
            int slice,
            KeyRange keys,
            String source,
            Duration now) {
        return sendCommand(
                acts,
                deliveries.computeIfAbsent(move.id, id -> new HashMap<>()),
                move.id,
                node,
                command,
                slice,
                keys,
                journalState.nextVersion(),
                source,
                now);
    }

    /** Tells it where it has not been told lately; true once it has been done. */
    private boolean sendCommand(
            List<CoordinatorAction> acts,
            Map<CommandKey, Delivery> keysTold,
            long move,
            String node,
            HandoffCommand command,
            int slice,
            KeyRange keys,
            long version,
            String source,
            Duration now) {
        Delivery one =
                keysTold.computeIfAbsent(
                        new CommandKey(node, command, slice), key -> new Delivery());
        if (!one.acknowledged
                && !isGone(node)
                && (one.sentAt == null
                        || now.minus(one.sentAt).compareTo(limits.resendInterval()) >= 0)) {
            one.sentAt = now;
            acts.add(
                    new CoordinatorAction.SendCommand(
                            move, node, command, slice, keys, version, source));
        }
        return one.acknowledged;
    }

    private boolean acknowledged(long move, Move.OldHolder loss, HandoffCommand command) {
        Delivery one =
                deliveries
                        .getOrDefault(move, Map.of())
                        .get(new CommandKey(loss.node(), command, loss.slice()));
        return one != null && one.acknowledged;
    }

    /**
     * Guards against a node that was gone while a slice was taken off it: when it is back it still
     * thinks that it holds it, and would serve old data to a router that is as far behind. It is
     * told to drop it first of all.
     */
    private void sendPendingDrops(List<CoordinatorAction> acts, Duration now) {
        for (Move.OldHolder loss : List.copyOf(journalState.pendingDrops())) {
            if (sendCommand(
                    acts,
                    deliveries.computeIfAbsent(NO_MOVE, id -> new HashMap<>()),
                    NO_MOVE,
                    loss.node(),
                    HandoffCommand.DROP,
                    loss.slice(),
                    loss.keys(),
                    0,
                    null,
                    now)) {
                deliveries
                        .get(NO_MOVE)
                        .remove(new CommandKey(loss.node(), HandoffCommand.DROP, loss.slice()));
                append(acts, new JournalRecord.PendingDrop(loss, false));
            }
        }
    }

    /**
     * Guards against a node that comes back and knows nothing of what it is to serve, or never
     * heard that a move was abandoned: it is told of each slice that the layout in force gives it
     * and that no move is about.
     */
    private void remindNodes(List<CoordinatorAction> acts, Duration now) {
        pendingReminders
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean all = true;
                            int open = 0;
                            for (Slice slice : journalState.layout().slices()) {
                                if (!slice.heldBy(entry.getKey())
                                        || open >= MAX_REMINDERS_IN_FLIGHT) {
                                    continue;
                                }
                                // What a move is about is reminded of once that is over.
                                boolean moving =
                                        journalState.activeMoves().stream()
                                                .anyMatch(
                                                        move ->
                                                                (move.change
                                                                                        .slices()
                                                                                        .contains(
                                                                                                slice
                                                                                                        .number())
                                                                                || move.newSlices
                                                                                        .contains(
                                                                                                slice
                                                                                                        .number()))
                                                                        && !awaitsApproval(move));
                                boolean done =
                                        !moving
                                                && sendCommand(
                                                        acts,
                                                        entry.getValue(),
                                                        NO_MOVE,
                                                        entry.getKey(),
                                                        HandoffCommand.SERVE,
                                                        slice.number(),
                                                        slice.keys(),
                                                        slice.createdVersion(),
                                                        null,
                                                        now);
                                open += done ? 0 : 1;
                                all &= done;
                            }
                            return all || isGone(entry.getKey());
                        });
    }
}
