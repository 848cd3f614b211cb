package postbeam.slices;

import java.util.Optional;

/**
 * A workflow over several moves that decides whether each may go on. Asked at each look, so it
 * needs no memory here.
 */
public interface MoveAdmission {
    /** Without a workflow all moves may go on. */
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

    /** Whether the move may go on to COPYING, REPLICATING, FENCED or COMPLETED. */
    boolean permits(Move move, MoveState next);

    /** Whether a copy that takes too long is abandoned. */
    boolean copyTimeoutApplies(Move move);

    /** Why the change may not be planned now, in one line; empty where it may. */
    Optional<String> reservationConflict(LayoutChange change);
}
