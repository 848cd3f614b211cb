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
    public record Gain(String node, int slice, KeyRange keys, String source) {}

    /** A node that is to let a slice go. */
    public record Loss(String node, int slice, KeyRange keys) {}

    public final long id;
    public final Change change;

    /** Numbers of the slices that it bears. */
    public final List<Integer> births;

    public final List<Gain> gains;
    public final List<Loss> losses;
    public final Duration plannedAt;
    public MoveState state = MoveState.PLANNED;

    /** Since when it stands there. */
    public Duration since;

    /** Why it is abandoned, or is to be turned back once it is over; null while it is not. */
    public String why;

    /** It was cut over already when it was abandoned: its opposite follows. */
    public boolean turnsBack;

    /** Its old holders may have been fenced. */
    public boolean fenced;

    Move(
            long id,
            Change change,
            List<Integer> births,
            List<Gain> gains,
            List<Loss> losses,
            Duration plannedAt) {
        this.id = id;
        this.change = change;
        this.births = List.copyOf(births);
        this.gains = List.copyOf(gains);
        this.losses = List.copyOf(losses);
        this.plannedAt = plannedAt;
        this.since = plannedAt;
    }

    /**
     * As the layout stands; data is copied from the source, which only a move with a new holder
     * has.
     */
    static Move planned(
            long id,
            Change change,
            List<Integer> births,
            String source,
            Layout layout,
            Duration at) {
        List<Gain> gains = new ArrayList<>();
        List<Loss> losses = new ArrayList<>();
        if (change instanceof Change.Move move) {
            Slice slice = layout.slice(move.slice());
            if (move.to() != null) {
                gains.add(new Gain(move.to(), slice.number(), slice.keys(), source));
            }
            if (move.from() != null) {
                losses.add(new Loss(move.from(), slice.number(), slice.keys()));
            }
        } else {
            List<KeyRange> born = layout.born(change);
            for (String node : layout.slice(change.slices().get(0)).nodes()) {
                for (int i = 0; i < born.size(); i++) {
                    gains.add(new Gain(node, births.get(i), born.get(i), node));
                }
                for (int number : change.slices()) {
                    losses.add(new Loss(node, number, layout.slice(number).keys()));
                }
            }
        }
        return new Move(id, change, births, gains, losses, at);
    }

    /** All nodes that it needs. */
    public Set<String> nodes() {
        Set<String> nodes = new LinkedHashSet<>();
        gains.forEach(
                gain -> {
                    nodes.add(gain.node());
                    nodes.add(gain.source());
                });
        losses.forEach(loss -> nodes.add(loss.node()));
        return nodes;
    }

    /** It takes data from one node to another. */
    public boolean copies() {
        return gains.stream().anyMatch(gain -> !gain.node().equals(gain.source()));
    }

    /** The new layout is in force. */
    public boolean cutOver() {
        return state == MoveState.CUT_OVER || state == MoveState.FORGOTTEN;
    }

    @Override
    public String toString() {
        return "move " + id + " (" + change + ") " + state.text() + (why == null ? "" : ", " + why);
    }
}
