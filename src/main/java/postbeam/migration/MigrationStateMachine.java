package postbeam.migration;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import postbeam.slices.Move;
import postbeam.slices.MoveState;

/**
 * Advances one migration through its states, and pauses it if the {@link PauseDetector} finds a
 * reason.
 */
final class MigrationStateMachine {
    private final TransferProgress progress;
    private final MigrationJournalState journalState;
    private final MovePlanner planner;
    private final MoveVerifier verifier;
    private final PauseDetector pauseDetector;
    private final SwitchConditions conditions;
    private final MigrationLimits limits;

    /**
     * By migration id, the version of the layout that all routers must acknowledge to end the
     * switch.
     */
    private final Map<Long, Long> versionToAcknowledge = new HashMap<>();

    MigrationStateMachine(
            TransferProgress progress,
            MigrationJournalState journalState,
            MovePlanner planner,
            MoveVerifier verifier,
            PauseDetector pauseDetector,
            SwitchConditions conditions,
            MigrationLimits limits) {
        this.progress = progress;
        this.journalState = journalState;
        this.planner = planner;
        this.verifier = verifier;
        this.pauseDetector = pauseDetector;
        this.conditions = conditions;
        this.limits = limits;
    }

    /**
     * Advances the migration state by state until a step leaves its state unchanged or ends the
     * migration.
     */
    void advance(ActionBatch batch, Migration migration, Duration now) {
        MigrationState before;
        do {
            before = migration.state();
            step(batch, migration, now);
        } while (migration.state() != before && !migration.state().isFinal());
    }

    /** Removes the data of migrations that have ended. */
    void retainActive() {
        versionToAcknowledge.keySet().removeIf(id -> journalState.findActive(id).isEmpty());
    }

    private void step(ActionBatch batch, Migration migration, Duration now) {
        if (migration.isPaused()) {
            return;
        }
        Optional<MigrationRecord.Paused> reason =
                pauseDetector
                        .persistentReason(migration, now)
                        .or(() -> pauseDetector.transientReason(migration, now));
        if (reason.isPresent()) {
            batch.append(reason.get());
            return;
        }
        switch (migration.state()) {
            case PLANNED -> startCopying(batch, migration, now);
            case COPYING -> copy(batch, migration, now);
            case CAUGHT_UP ->
                    enter(
                            batch,
                            migration,
                            progress.isCaughtUp(migration)
                                    ? MigrationState.VERIFYING
                                    : MigrationState.COPYING,
                            now);
            case VERIFYING -> verify(batch, migration, now);
            case SWITCH_CHECKPOINT -> returnToCopyingIfMoveIsLost(batch, migration, now);
            case SWITCHING -> switchOver(batch, migration, now);
            case OBSERVING -> observe(batch, migration, now);
            case RETIRING -> retire(batch, migration, now);
            case ROLLING_BACK -> rollBack(batch, migration, now);
            default -> {
                // RETIREMENT_CHECKPOINT waits for an operator; RETIRED and ROLLED_BACK are final.
            }
        }
    }

    private void startCopying(ActionBatch batch, Migration migration, Duration now) {
        long started =
                journalState.activeMigrations().stream()
                        .filter(other -> other.state() != MigrationState.PLANNED)
                        .count();
        if (started < limits.maxActiveMigrations()) {
            enter(batch, migration, MigrationState.COPYING, now);
        }
    }

    private void copy(ActionBatch batch, Migration migration, Duration now) {
        planner.planMissingMoves(batch, migration, now);
        if (progress.isCaughtUp(migration)) {
            enter(batch, migration, MigrationState.CAUGHT_UP, now);
        }
    }

    private void verify(ActionBatch batch, Migration migration, Duration now) {
        if (returnToCopyingIfMoveIsLost(batch, migration, now)) {
            return;
        }
        boolean allVerified = true;
        for (SliceTransfer transfer : migration.transfers) {
            if (!progress.isCutOver(transfer)) {
                Move move = progress.activeMove(transfer).orElseThrow();
                allVerified &= verifier.verify(batch, migration, move, now);
            }
        }
        if (allVerified) {
            openCheckpoint(batch, migration, now);
        }
    }

    private void switchOver(ActionBatch batch, Migration migration, Duration now) {
        if (returnToCopyingIfMoveIsLost(batch, migration, now) || !progress.isCutOver(migration)) {
            return;
        }
        long version =
                versionToAcknowledge.computeIfAbsent(
                        migration.id, id -> progress.currentLayout().version);
        if (conditions.allRoutersAcknowledged(version, now)) {
            enter(batch, migration, MigrationState.OBSERVING, now);
        }
    }

    private void observe(ActionBatch batch, Migration migration, Duration now) {
        if (now.minus(migration.since()).compareTo(limits.observationPeriod()) >= 0) {
            openCheckpoint(batch, migration, now);
        }
    }

    private void retire(ActionBatch batch, Migration migration, Duration now) {
        if (!progress.hasActiveMove(migration)) {
            enter(batch, migration, MigrationState.RETIRED, now);
        }
    }

    private void rollBack(ActionBatch batch, Migration migration, Duration now) {
        boolean finished = true;
        for (SliceTransfer transfer : migration.transfers) {
            Optional<Move> move = progress.activeMove(transfer);
            finished &= move.isEmpty() && !progress.isCutOver(transfer);
            move.ifPresent(active -> rollBackMove(batch, migration, transfer, active, now));
        }
        planner.planMissingMoves(batch, migration, now);
        if (finished) {
            enter(batch, migration, MigrationState.ROLLED_BACK, now);
        }
    }

    /**
     * Abandons a move to the target. Verifies a move back to the source, which the coordinator
     * advances once it is verified.
     */
    private void rollBackMove(
            ActionBatch batch,
            Migration migration,
            SliceTransfer transfer,
            Move move,
            Duration now) {
        boolean forward = transfer.isForward(move.change);
        if (forward && move.state() != MoveState.ABANDONING && !move.reverseWhenDone()) {
            batch.abandonMove(move, migration.rollbackReason(), now);
        } else if (!forward && progress.isCaughtUp(move)) {
            verifier.verify(batch, migration, move, now);
        }
    }

    private boolean returnToCopyingIfMoveIsLost(
            ActionBatch batch, Migration migration, Duration now) {
        boolean lost = progress.hasLostMove(migration);
        if (lost) {
            enter(batch, migration, MigrationState.COPYING, now);
        }
        return lost;
    }

    private void enter(ActionBatch batch, Migration migration, MigrationState state, Duration now) {
        batch.append(new MigrationRecord.StateEntered(migration.id, state, now));
    }

    private void openCheckpoint(ActionBatch batch, Migration migration, Duration now) {
        batch.append(
                new MigrationRecord.CheckpointOpened(
                        migration.id,
                        progress.currentLayout().version,
                        migration.checkpointDigest(),
                        now));
    }
}
