package postbeam.slices;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * One layout change that is being carried out, with its nodes. Only journal records change its
 * state; {@link MoveJournalState} applies them. Not thread-safe.
 */
public final class Move {
    /**
     * A node that acquires a slice.
     *
     * @param source the node to copy the data from; the node itself if it has the data already, as
     *     in a split or merge
     */
    public record Destination(String node, int slice, KeyRange keys, String source) {}

    /** A node that gives up a slice. */
    public record OldHolder(String node, int slice, KeyRange keys) {}

    /** The id, unique among the moves of a journal. */
    public final long id;

    /** The change of the layout. */
    public final LayoutChange change;

    /** The numbers of the slices that the change creates. */
    public final List<Integer> newSlices;

    /** The nodes that acquire slices. */
    public final List<Destination> destinations;

    /** The nodes that give up slices. */
    public final List<OldHolder> oldHolders;

    /** When the move was planned, since the Unix epoch. */
    public final Duration plannedAt;

    private MoveState state = MoveState.PLANNED;
    private Duration stateSince;
    private String abandonReason;
    private boolean reverseWhenDone;
    private boolean mayBeFenced;

    private Move(
            long id,
            LayoutChange change,
            List<Integer> newSlices,
            List<Destination> destinations,
            List<OldHolder> oldHolders,
            Duration plannedAt) {
        this.id = id;
        this.change = change;
        this.newSlices = List.copyOf(newSlices);
        this.destinations = List.copyOf(destinations);
        this.oldHolders = List.copyOf(oldHolders);
        this.plannedAt = plannedAt;
        this.stateSince = plannedAt;
    }

    // ---- creation

    /** Creates the move that a record plans, for the current layout. */
    static Move plan(JournalRecord.Planned planned, Layout layout) {
        List<Destination> destinations = new ArrayList<>();
        List<OldHolder> oldHolders = new ArrayList<>();
        if (planned.change() instanceof LayoutChange.Transfer transfer) {
            planTransfer(transfer, planned.source(), layout, destinations, oldHolders);
        } else {
            planSplitOrMerge(planned, layout, destinations, oldHolders);
        }
        return new Move(
                planned.id(),
                planned.change(),
                planned.newSlices(),
                destinations,
                oldHolders,
                planned.at());
    }

    private static void planTransfer(
            LayoutChange.Transfer transfer,
            String source,
            Layout layout,
            List<Destination> destinations,
            List<OldHolder> oldHolders) {
        Slice slice = layout.slice(transfer.slice());
        if (transfer.to() != null) {
            destinations.add(new Destination(transfer.to(), slice.number(), slice.keys(), source));
        }
        if (transfer.from() != null) {
            oldHolders.add(new OldHolder(transfer.from(), slice.number(), slice.keys()));
        }
    }

    /**
     * Destinations of a split or merge: each holder registers the data that it has under the
     * numbers of the new slices, so nothing is copied between nodes.
     */
    private static void planSplitOrMerge(
            JournalRecord.Planned planned,
            Layout layout,
            List<Destination> destinations,
            List<OldHolder> oldHolders) {
        List<Integer> slices = planned.change().slices();
        List<KeyRange> ranges = layout.newSliceRanges(planned.change());
        for (String node : layout.slice(slices.get(0)).nodes()) {
            for (int i = 0; i < ranges.size(); i++) {
                destinations.add(
                        new Destination(node, planned.newSlices().get(i), ranges.get(i), node));
            }
            for (int number : slices) {
                oldHolders.add(new OldHolder(node, number, layout.slice(number).keys()));
            }
        }
    }

    /** Recreates a move from a snapshot. */
    static Move restore(JournalRecord.MoveSnapshot snapshot) {
        Move move =
                new Move(
                        snapshot.id(),
                        snapshot.change(),
                        snapshot.newSlices(),
                        snapshot.destinations(),
                        snapshot.oldHolders(),
                        snapshot.plannedAt());
        move.state = snapshot.state();
        move.stateSince = snapshot.stateSince();
        move.abandonReason = snapshot.abandonReason();
        move.reverseWhenDone = snapshot.reverseWhenDone();
        move.mayBeFenced = snapshot.mayBeFenced();
        return move;
    }

    JournalRecord.MoveSnapshot snapshot() {
        return new JournalRecord.MoveSnapshot(
                id,
                change,
                newSlices,
                destinations,
                oldHolders,
                plannedAt,
                state,
                stateSince,
                abandonReason,
                reverseWhenDone,
                mayBeFenced);
    }

    // ---- changes by records

    /** Enters a state. */
    void enter(MoveState next, Duration at) {
        state = next;
        stateSince = at;
        mayBeFenced |= next == MoveState.FENCED;
    }

    /**
     * Starts the rollback. A move that is cut over already is marked to be completed first and then
     * reversed.
     */
    void abandon(String reason, Duration at) {
        abandonReason = reason;
        if (isCutOver()) {
            reverseWhenDone = true;
        } else {
            enter(MoveState.ABANDONING, at);
        }
    }

    // ---- state

    /** The current state. */
    public MoveState state() {
        return state;
    }

    /** When the move entered its current state, since the Unix epoch. */
    public Duration stateSince() {
        return stateSince;
    }

    /** Why the move is abandoned; null if it is not. */
    public String abandonReason() {
        return abandonReason;
    }

    /**
     * Whether the move was abandoned after the cut-over. Such a move is completed, and then its
     * reverse is planned.
     */
    public boolean reverseWhenDone() {
        return reverseWhenDone;
    }

    /** Whether old holders may have been fenced. */
    boolean mayBeFenced() {
        return mayBeFenced;
    }

    /**
     * Whether an operator stated that the node, an old holder, is dead. Any other old holder must
     * be fenced before the cut-over even if it is not listed: it may be cut off from the
     * coordinator alone and still accept calls.
     */
    boolean isStatedDead(String node) {
        return change instanceof LayoutChange.Transfer transfer
                && transfer.fromIsDead()
                && node.equals(transfer.from());
    }

    /** Whether the new layout is in force. */
    public boolean isCutOver() {
        return state == MoveState.CUT_OVER || state == MoveState.COMPLETED;
    }

    // ---- slices and nodes of the move

    /** Whether the move changes or creates the slice. */
    boolean concerns(int slice) {
        return change.slices().contains(slice) || newSlices.contains(slice);
    }

    boolean hasDestination(String node, int slice) {
        return destinations.stream()
                .anyMatch(
                        destination ->
                                destination.slice() == slice && destination.node().equals(node));
    }

    /** All destinations, sources and old holders. */
    public Set<String> requiredNodes() {
        Set<String> nodes = new LinkedHashSet<>();
        destinations.forEach(
                destination -> {
                    nodes.add(destination.node());
                    nodes.add(destination.source());
                });
        oldHolders.forEach(holder -> nodes.add(holder.node()));
        return nodes;
    }

    /** Whether the move copies data from one node to another. */
    public boolean copiesData() {
        return destinations.stream()
                .anyMatch(destination -> !destination.node().equals(destination.source()));
    }

    @Override
    public String toString() {
        return "move "
                + id
                + " ("
                + change
                + ") "
                + state.text()
                + (abandonReason == null ? "" : ", " + abandonReason);
    }
}
