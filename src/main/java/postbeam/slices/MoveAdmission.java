package postbeam.slices;

import java.util.Optional;

/**
 * A workflow over several moves that decides whether each of them may go on. The coordinator calls
 * it at each tick and does not store the results.
 */
public interface MoveAdmission {
    /** Admits all moves, for a coordinator without a workflow. */
    MoveAdmission UNRESTRICTED =
            new MoveAdmission() {
                @Override
                public boolean permits(Move move, MoveState next) {
                    return true;
                }

                @Override
                public boolean copyTimeoutApplies(Move move) {
                    return true;
                }

                @Override
                public Optional<String> reservationConflict(LayoutChange change) {
                    return Optional.empty();
                }
            };

    /**
     * Whether the move may enter the next state.
     *
     * @param next COPYING, REPLICATING, FENCED or COMPLETED
     */
    boolean permits(Move move, MoveState next);

    /** Whether the move is abandoned if copying or replicating takes too long. */
    boolean copyTimeoutApplies(Move move);

    /** The reason why the change may not be planned now, in one line; empty if it may. */
    Optional<String> reservationConflict(LayoutChange change);
}
