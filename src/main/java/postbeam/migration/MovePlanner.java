package postbeam.migration;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import postbeam.slices.Coordinator;
import postbeam.slices.LayoutChange;
import postbeam.slices.Move;
import postbeam.slices.MoveState;

/**
 * Plans the moves that a migration still needs, within the limit on its concurrent copies and the
 * throttle over all migrations.
 */
final class MovePlanner {
    private final Coordinator coordinator;
    private final TransferProgress progress;
    private final SliceSizes sliceSizes;
    private final MigrationLimits limits;
    private final MigrationThrottle throttle;

    MovePlanner(
            Coordinator coordinator,
            TransferProgress progress,
            SliceSizes sliceSizes,
            MigrationLimits limits) {
        this.coordinator = coordinator;
        this.progress = progress;
        this.sliceSizes = sliceSizes;
        this.limits = limits;
        this.throttle = new MigrationThrottle(limits.movesPerSecond(), limits.bytesPerSecond());
    }

    /**
     * Plans moves whose slice size is known and requests the sizes of other slices. Pauses the
     * migration if a move can't be planned, or if no holder reports a size within the stall
     * timeout.
     */
    void planMissingMoves(ActionBatch batch, Migration migration, Duration now) {
        long copying = copiesInProgress(migration);
        for (SliceTransfer transfer : migration.transfers) {
            if (copying >= limits.maxConcurrentCopies() || !throttle.canStart(now)) {
                return;
            }
            if (!needsMove(migration, transfer)) {
                continue;
            }
            LayoutChange change = migration.nextChange(transfer);
            Optional<String> problem = coordinator.rejectionReason(change);
            if (problem.isPresent()) {
                batch.append(
                        new MigrationRecord.Paused(
                                migration.id, PauseReason.MOVE_FAILED, problem.get(), now));
                return;
            }
            Optional<Long> bytes = sliceSizes.take(transfer.slice());
            if (bytes.isPresent()) {
                throttle.onCopyStarted(migration.member, bytes.get(), now);
                copying++;
                batch.planMove(change, now);
                continue;
            }
            sliceSizes.request(batch, transfer.slice(), now);
            if (sliceSizes.hasTimedOut(transfer.slice(), now)) {
                batch.append(
                        new MigrationRecord.Paused(
                                migration.id,
                                PauseReason.STALLED,
                                "no holder reported the size of slice "
                                        + transfer.slice()
                                        + " within "
                                        + limits.stallTimeout().toMillis()
                                        + " ms",
                                now));
                return;
            }
        }
    }

    private long copiesInProgress(Migration migration) {
        return migration.transfers.stream()
                .flatMap(transfer -> progress.activeMove(transfer).stream())
                .filter(MovePlanner::isCopying)
                .count();
    }

    private static boolean isCopying(Move move) {
        return move.state() == MoveState.PLANNED || move.state() == MoveState.COPYING;
    }

    private boolean needsMove(Migration migration, SliceTransfer transfer) {
        boolean atDestination = progress.isCutOver(transfer) != migration.isRollingBack();
        return !atDestination && progress.activeMove(transfer).isEmpty();
    }

    /** Bytes of the member's copies, counted since it has had an active migration. */
    long copiedBytes(String member) {
        return throttle.copiedBytes(member);
    }

    /** Removes the counts of all other members. */
    void retainMembers(Set<String> members) {
        throttle.retainMembers(members);
    }
}
