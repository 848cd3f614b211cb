package postbeam.slices;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One change on its way: as the log has it, and whom it concerns. */
public final class Move {
    /**
     * A node that is to hold keys under a number, from a node that has them (itself, where only the
     * number is new).
     */
    public record Destination(String node, int slice, KeyRange keys, String source) {}

    /** A node that is to let a slice go. */
    public record OldHolder(String node, int slice, KeyRange keys) {}

    public final long id;
    public final LayoutChange change;

    /** Numbers of the slices that it bears. */
    public final List<Integer> newSlices;

    public final List<Destination> destinations;
    public final List<OldHolder> oldHolders;
    public final Duration plannedAt;
    MoveState state = MoveState.PLANNED;

    /** Since when it stands there. */
    Duration stateSince;

    /** Why it is abandoned, or is to be turned back once it is over; null while it is not. */
    String abandonReason;

    /** It was cut over already when it was abandoned: its opposite follows. */
    boolean reverseWhenDone;

    /** Its old holders may have been fenced. */
    boolean mayBeFenced;

    Move(
            long id,
            LayoutChange change,
            List<Integer> births,
            List<Destination> gains,
            List<OldHolder> losses,
            Duration plannedAt) {
        this.id = id;
        this.change = change;
        this.newSlices = List.copyOf(births);
        this.destinations = List.copyOf(gains);
        this.oldHolders = List.copyOf(losses);
        this.plannedAt = plannedAt;
        this.stateSince = plannedAt;
    }

    /**
     * As the layout stands; data is copied from the source, which only a move with a new holder
     * has.
     */
    static Move plan(
            long id,
            LayoutChange change,
            List<Integer> births,
            String source,
            Layout layout,
            Duration at) {
        List<Destination> gains = new ArrayList<>();
        List<OldHolder> losses = new ArrayList<>();
        if (change instanceof LayoutChange.Transfer move) {
            Slice slice = layout.slice(move.slice());
            if (move.to() != null) {
                gains.add(new Destination(move.to(), slice.number(), slice.keys(), source));
            }
            if (move.from() != null) {
                losses.add(new OldHolder(move.from(), slice.number(), slice.keys()));
            }
        } else {
            List<KeyRange> born = layout.newSliceRanges(change);
            for (String node : layout.slice(change.slices().get(0)).nodes()) {
                for (int i = 0; i < born.size(); i++) {
                    gains.add(new Destination(node, births.get(i), born.get(i), node));
                }
                for (int number : change.slices()) {
                    losses.add(new OldHolder(node, number, layout.slice(number).keys()));
                }
            }
        }
        return new Move(id, change, births, gains, losses, at);
    }

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

    /** All nodes that it needs. */
    public Set<String> requiredNodes() {
        Set<String> nodes = new LinkedHashSet<>();
        destinations.forEach(
                gain -> {
                    nodes.add(gain.node());
                    nodes.add(gain.source());
                });
        oldHolders.forEach(loss -> nodes.add(loss.node()));
        return nodes;
    }

    /** It takes data from one node to another. */
    public boolean copiesData() {
        return destinations.stream().anyMatch(gain -> !gain.node().equals(gain.source()));
    }

    /** The new layout is in force. */
    public boolean isCutOver() {
        return state == MoveState.CUT_OVER || state == MoveState.COMPLETED;
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
