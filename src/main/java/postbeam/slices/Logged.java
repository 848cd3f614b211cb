package postbeam.slices;

import java.time.Duration;
import java.util.List;

/**
 * What the log of moves holds; {@link Book} is what its records add up to. Times are spans since
 * 1970.
 */
public sealed interface Logged {
    /** All that is known: the first record of each log. The target is null where there is none. */
    record Whole(
            Layout layout,
            long lastVersion,
            long lastMove,
            int lastSlice,
            List<Standing> moves,
            Target target,
            List<Move.Loss> owed)
            implements Logged {}

    /** A move as it stands; why is null where it is not abandoned. */
    record Standing(
            long id,
            Change change,
            List<Integer> births,
            List<Move.Gain> gains,
            List<Move.Loss> losses,
            Duration plannedAt,
            MoveState state,
            Duration since,
            String why,
            boolean turnsBack,
            boolean fenced) {}

    /** A move is planned; the source is null where no data goes from one node to another. */
    record Planned(long id, Change change, List<Integer> births, String source, Duration at)
            implements Logged {}

    /** A move has come to this state. */
    record Advanced(long id, MoveState state, Duration at) implements Logged {}

    /** The layout with the move's change, of this version, is in force. */
    record CutOver(long id, long version, Duration at) implements Logged {}

    /** A move goes back, or is to be turned back once it is over. */
    record Abandoning(long id, String why, Duration at) implements Logged {}

    /** The layout without the move's change, under this version, is in force. */
    record Back(long id, long version, Duration at) implements Logged {}

    /**
     * A node has yet to be told that a slice is no longer its own; or, where it is not owed any
     * more, has dropped it.
     */
    record Owed(Move.Loss loss, boolean owed) implements Logged {}

    /** A process has begun to write this log: records and orders of lower terms count no more. */
    record Office(long term) implements Logged {}

    /** What a workflow over moves writes among them; the {@link Book} hands it on. */
    non-sealed interface Other extends Logged {}

    /** Where the layout is to get; null: nowhere any more. */
    record Aimed(Target target) implements Logged {}
}
