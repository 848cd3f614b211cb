package postbeam.slices;

import java.util.Optional;

/**
 * Who else has a say in moves: a workflow over several of them. Asked at each look, so it needs no
 * memory here.
 */
public interface Gate {
    /** All may go on. */
    Gate OPEN =
            new Gate() {
                @Override
                public boolean may(Move move, MoveState next) {
                    return true;
                }

                @Override
                public boolean timed(Move move) {
                    return true;
                }

                @Override
                public Optional<String> reserved(Change change) {
                    return Optional.empty();
                }
            };

    /** Whether the move may go on to COPYING, HOLDING_BOTH, FENCED or FORGOTTEN. */
    boolean may(Move move, MoveState next);

    /** Whether a copy that takes long is abandoned. */
    boolean timed(Move move);

    /** Why the change may not be planned now, in one line; empty where it may. */
    Optional<String> reserved(Change change);
}
