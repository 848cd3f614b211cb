package postbeam.slices;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * One change of the layout on its way, and the nodes that it concerns. Its state changes by records
 * of the journal alone, which {@link MoveJournalState} applies. Not thread-safe.
 */
public final class Move {
    /**
     * A node that is to hold keys as a slice.
     *
     * @param source the node that it gets the data from; itself where only the slice's number is
     *     new
     */
    public record Destination(String node, int slice, KeyRange keys, String source) {}

    /** A node that is to let a slice go. */
    public record OldHolder(String node, int slice, KeyRange keys) {}

    /** The move's number. */
    public final long id;

    /** What is done to the layout. */
    public final LayoutChange change;

    /** Numbers of the slices that it creates. */
    public final List<Integer> newSlices;

    /** The nodes that are to hold slices by it. */
    public final List<Destination> destinations;

    /** The nodes that are to let slices go. */
    public final List<OldHolder> oldHolders;

    /** When it was planned, since 1970. */
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

    /** The move that a record plans, as the layout stands. */
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

    /** Each holder takes its own data up under the new slices' numbers. */
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

    /** The move as a snapshot holds it. */
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

    // ---- records

    /** The move has come to this state. */
    void enter(MoveState next, Duration at) {
        state = next;
        stateSince = at;
        mayBeFenced |= next == MoveState.FENCED;
    }

    /**
     * The move is rolled back; one that is cut over already is completed first, and reversed then.
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

    /** How far it has come. */
    public MoveState state() {
        return state;
    }

    /** Since when it is in its state, since 1970. */
    public Duration stateSince() {
        return stateSince;
    }

    /** Why it is abandoned; null while it is not. */
    public String abandonReason() {
        return abandonReason;
    }

    /**
     * Whether it was abandoned after the cut-over: it is completed, and its reverse is planned
     * then.
     */
    public boolean reverseWhenDone() {
        return reverseWhenDone;
    }

    /** Whether its old holders may have been fenced. */
    boolean mayBeFenced() {
        return mayBeFenced;
    }

    /** Whether the new layout is in force. */
    public boolean isCutOver() {
        return state == MoveState.CUT_OVER || state == MoveState.COMPLETED;
    }

    // ---- whom it concerns

    /** Whether it changes or creates the slice. */
    boolean concerns(int slice) {
        return change.slices().contains(slice) || newSlices.contains(slice);
    }

    boolean hasDestination(String node, int slice) {
        return destinations.stream()
                .anyMatch(
                        destination ->
                                destination.slice() == slice && destination.node().equals(node));
    }

    /** All nodes that it needs. */
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

    /** Whether it takes data from one node to another. */
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
