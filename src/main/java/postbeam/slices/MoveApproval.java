package postbeam.slices;

import java.util.Optional;

/** Asks the workflow that moves belong to, where there is one, whether they may go on. */
final class MoveApproval {
    private MoveAdmission admission = MoveAdmission.UNRESTRICTED;

    void setAdmission(MoveAdmission newAdmission) {
        admission = newAdmission;
    }

    boolean permits(Move move, MoveState next) {
        return admission.permits(move, next);
    }

    boolean copyTimeoutApplies(Move move) {
        return admission.copyTimeoutApplies(move);
    }

    Optional<String> reservationConflict(LayoutChange change) {
        return admission.reservationConflict(change);
    }

    /**
     * Whether the move waits for approval alone, and needs nothing of its nodes but what they do
     * all the time.
     */
    boolean isAwaitingApproval(Move move) {
        return switch (move.state()) {
            case REPLICATING -> !permits(move, MoveState.FENCED);
            case CUT_OVER -> !move.reverseWhenDone() && !permits(move, MoveState.COMPLETED);
            default -> false;
        };
    }
}
