package postbeam.migration;

import java.util.Optional;
import postbeam.model.Readiness;
import postbeam.slices.Coordinator;
import postbeam.slices.HandoffCommand;
import postbeam.slices.Layout;
import postbeam.slices.Move;
import postbeam.slices.MoveState;
import postbeam.slices.TargetLayout;

/**
 * Determines the progress of slice transfers from the coordinator's state. It has no state of its
 * own: the move of a transfer is found by the move's layout change, so that a restarted process
 * continues from the journal alone.
 */
final class TransferProgress {
    private final Coordinator coordinator;
    private final MigrationJournalState journalState;

    TransferProgress(Coordinator coordinator, MigrationJournalState journalState) {
        this.coordinator = coordinator;
        this.journalState = journalState;
    }

    Layout currentLayout() {
        return coordinator.state().layout();
    }

    /** The active move of the transfer's slice, in either direction; empty if there is none. */
    Optional<Move> activeMove(SliceTransfer transfer) {
        return coordinator.state().activeMoves().stream()
                .filter(move -> move.change.slices().contains(transfer.slice()))
                .findFirst();
    }

    boolean isMoveActive(long moveId) {
        return coordinator.state().move(moveId) != null;
    }

    /** Whether the layout in force names the target as a holder. */
    boolean isCutOver(SliceTransfer transfer) {
        return currentLayout().slice(transfer.slice()).heldBy(transfer.target());
    }

    /** Whether the target has copied the whole slice and keeps it up to date. */
    boolean isCaughtUp(SliceTransfer transfer) {
        return activeMove(transfer).filter(this::isCaughtUp).isPresent();
    }

    /** Whether the destinations have copied the whole slice and keep it up to date. */
    boolean isCaughtUp(Move move) {
        return move.state() == MoveState.REPLICATING
                && coordinator.destinationsAcknowledged(move, HandoffCommand.HOLD);
    }

    /** Whether each transfer is caught up or already cut over. */
    boolean isCaughtUp(Migration migration) {
        return migration.transfers.stream()
                .allMatch(transfer -> isCutOver(transfer) || isCaughtUp(transfer));
    }

    boolean isCutOver(Migration migration) {
        return migration.transfers.stream().allMatch(this::isCutOver);
    }

    boolean hasActiveMove(Migration migration) {
        return migration.transfers.stream().anyMatch(transfer -> activeMove(transfer).isPresent());
    }

    /**
     * Whether any transfer of the migration that is not cut over has no active move, or only one
     * that is being abandoned.
     */
    boolean hasLostMove(Migration migration) {
        return migration.transfers.stream().anyMatch(this::hasLostMove);
    }

    private boolean hasLostMove(SliceTransfer transfer) {
        if (isCutOver(transfer)) {
            return false;
        }
        Optional<Move> move = activeMove(transfer);
        return move.isEmpty() || move.get().state() == MoveState.ABANDONING;
    }

    /** The active migration that the move belongs to; empty if there is none. */
    Optional<Migration> migrationOf(Move move) {
        int slice = move.change.slices().get(0);
        return journalState
                .activeMigrationOf(slice)
                .filter(
                        migration ->
                                migration.transferOf(slice).orElseThrow().matches(move.change));
    }

    boolean isReady(String node) {
        TargetLayout.NodeInfo info = coordinator.nodeInfo(node);
        return info != null && info.readiness() == Readiness.READY;
    }

    /** Whether the node was listed; after a restart none is known before the first node list. */
    boolean isKnown(String node) {
        return coordinator.nodeInfo(node) != null;
    }

    /** Whether the move is neither cut over nor already being abandoned. */
    static boolean isAbandonable(Move move) {
        return !move.isCutOver() && move.state() != MoveState.ABANDONING;
    }
}
