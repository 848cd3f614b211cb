package postbeam.slices;

import java.util.Optional;

/**
 * Holds the current {@link MoveAdmission}, which can be set after the coordinator's classes were
 * wired, and forwards calls to it.
 */
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
     * Whether the move waits only for the permission of the workflow. Its nodes then only serve and
     * keep copies up to date, so the move does not count towards the limits on moves.
     */
    boolean isAwaitingApproval(Move move) {
        return switch (move.state()) {
            case REPLICATING -> !permits(move, MoveState.FENCED);
            case CUT_OVER -> !move.reverseWhenDone() && !permits(move, MoveState.COMPLETED);
            default -> false;
        };
    }
}
