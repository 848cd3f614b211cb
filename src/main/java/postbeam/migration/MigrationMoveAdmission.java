package postbeam.migration;

import java.util.Optional;
import postbeam.slices.LayoutChange;
import postbeam.slices.Move;
import postbeam.slices.MoveAdmission;
import postbeam.slices.MoveState;

/**
 * Lets a move of a migration advance only while the migration is in the state for that step. Moves
 * that belong to no migration are not restricted.
 */
final class MigrationMoveAdmission implements MoveAdmission {
    private final TransferProgress progress;
    private final MigrationJournalState journalState;
    private final SwitchConditions conditions;

    MigrationMoveAdmission(
            TransferProgress progress,
            MigrationJournalState journalState,
            SwitchConditions conditions) {
        this.progress = progress;
        this.journalState = journalState;
        this.conditions = conditions;
    }

    @Override
    public boolean permits(Move move, MoveState next) {
        return progress.migrationOf(move)
                .map(migration -> mayAdvance(migration, move, next))
                .orElse(true);
    }

    private boolean mayAdvance(Migration migration, Move move, MoveState next) {
        int slice = move.change.slices().get(0);
        boolean forward = migration.transferOf(slice).orElseThrow().isForward(move.change);
        return switch (next) {
            case COPYING, REPLICATING -> isRunning(migration, forward, MigrationState.COPYING);
            case FENCED ->
                    isRunning(migration, forward, MigrationState.SWITCHING)
                            && conditions.isVerified(migration, move);
            case COMPLETED -> isRunning(migration, forward, MigrationState.RETIRING);
            default -> true;
        };
    }

    /**
     * Whether the migration is not paused and in {@code forwardState}, or rolling back where the
     * move is a reverse one.
     */
    private static boolean isRunning(
            Migration migration, boolean forward, MigrationState forwardState) {
        return !migration.isPaused()
                && migration.state() == (forward ? forwardState : MigrationState.ROLLING_BACK);
    }

    /** No timeout abandons a copy of a migration: one that takes too long pauses the migration. */
    @Override
    public boolean copyTimeoutApplies(Move move) {
        return progress.migrationOf(move).isEmpty();
    }

    @Override
    public Optional<String> reservationConflict(LayoutChange change) {
        for (int slice : change.slices()) {
            Optional<Migration> owner =
                    journalState
                            .activeMigrationOf(slice)
                            .filter(migration -> !isNextChange(migration, slice, change));
            if (owner.isPresent()) {
                return Optional.of(
                        "slice "
                                + slice
                                + " belongs to migration "
                                + owner.get().id
                                + " of "
                                + owner.get().member);
            }
        }
        return Optional.empty();
    }

    private static boolean isNextChange(Migration migration, int slice, LayoutChange change) {
        return (migration.state() == MigrationState.COPYING || migration.isRollingBack())
                && change.equals(migration.nextChange(migration.transferOf(slice).orElseThrow()));
    }
}
