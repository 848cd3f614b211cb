package postbeam.migration;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import postbeam.slices.LayoutChange;

/**
 * One member's migration. Its state follows from the journal's records and changes only through
 * {@link #apply}.
 */
public final class Migration {
    public final long id;
    public final String member;
    public final List<SliceTransfer> transfers;

    /** The version of the layout in force when the migration was created. */
    public final long initialLayoutVersion;

    /** The member's utility when the migration was created, from 0 to 1; 0 if it was unknown. */
    public final double initialUtility;

    private MigrationState state = MigrationState.PLANNED;
    private Duration since;
    private PauseReason pauseReason;
    private String pauseDetail;

    /** Digests of the verified slices by move id. */
    private final Map<Long, String> verifiedDigests = new TreeMap<>();

    private int checkpointsOpened;
    private Checkpoint openCheckpoint;
    private Checkpoint passedCheckpoint;
    private String rollbackReason;

    Migration(MigrationRecord.Created created) {
        this.id = created.id();
        this.member = created.member();
        this.transfers = created.transfers();
        this.initialLayoutVersion = created.layoutVersion();
        this.initialUtility = created.utility();
        this.since = created.at();
    }

    Migration(MigrationRecord.Snapshot snapshot) {
        this.id = snapshot.id();
        this.member = snapshot.member();
        this.transfers = List.copyOf(snapshot.transfers());
        this.initialLayoutVersion = snapshot.initialLayoutVersion();
        this.initialUtility = snapshot.initialUtility();
        this.state = snapshot.state();
        this.since = snapshot.since();
        this.pauseReason = snapshot.pauseReason();
        this.pauseDetail = snapshot.pauseDetail();
        this.verifiedDigests.putAll(snapshot.verifiedDigests());
        this.checkpointsOpened = snapshot.checkpointsOpened();
        this.openCheckpoint = snapshot.openCheckpoint();
        this.passedCheckpoint = snapshot.passedCheckpoint();
        this.rollbackReason = snapshot.rollbackReason();
    }

    /** The current state, which a pause does not change. */
    public MigrationState state() {
        return state;
    }

    /**
     * When the migration entered its current state or was last resumed, as a duration since the
     * Unix epoch.
     */
    public Duration since() {
        return since;
    }

    /**
     * Whether the migration is paused: a paused migration makes no progress until an operator
     * resumes it or rolls it back.
     */
    public boolean isPaused() {
        return pauseReason != null;
    }

    /** The reason of the pause; null if the migration is not paused. */
    public PauseReason pauseReason() {
        return pauseReason;
    }

    /** The description of the pause for operators; null if the migration is not paused. */
    public String pauseDetail() {
        return pauseDetail;
    }

    /** The checkpoint that waits for an operator's approval; null if none is open. */
    public Checkpoint openCheckpoint() {
        return openCheckpoint;
    }

    /** The checkpoint that was passed last; null if none has been passed. */
    Checkpoint passedCheckpoint() {
        return passedCheckpoint;
    }

    /** The number of checkpoints that have been opened. */
    int checkpointsOpened() {
        return checkpointsOpened;
    }

    /** The reason of the rollback; null if none was started. */
    public String rollbackReason() {
        return rollbackReason;
    }

    boolean isRollingBack() {
        return state == MigrationState.ROLLING_BACK;
    }

    /** Whether the replicas of the move's slice at source and target were found equal. */
    boolean isVerified(long moveId) {
        return verifiedDigests.containsKey(moveId);
    }

    /** The transfer of the slice; empty if the slice is not part of this migration. */
    public Optional<SliceTransfer> transferOf(int slice) {
        return transfers.stream().filter(transfer -> transfer.slice() == slice).findFirst();
    }

    /** The layout change of the transfer in the migration's current direction. */
    LayoutChange nextChange(SliceTransfer transfer) {
        return isRollingBack() ? transfer.reverseChange() : transfer.forwardChange();
    }

    /**
     * Returns a digest over the verified moves, which identifies a checkpoint. It includes the
     * number of checkpoints opened so far, so that a command for an earlier checkpoint is stale.
     * Checkpoints are stored in the journal, so the digested text must keep its format.
     */
    String checkpointDigest() {
        String verified =
                verifiedDigests.entrySet().stream()
                        .map(entry -> entry.getKey() + "=" + entry.getValue())
                        .collect(Collectors.joining(", ", "{", "}"));
        return Digests.sha256(id + " " + checkpointsOpened + " " + verified);
    }

    // ---- applying records

    /**
     * Applies a record of this migration.
     *
     * @throws IllegalArgumentException the record can't follow the records applied before
     */
    void apply(MigrationRecord migrationRecord) {
        if (migrationRecord instanceof MigrationRecord.StateEntered entered) {
            enter(entered.state(), entered.at());
        } else if (migrationRecord instanceof MigrationRecord.MoveVerified verified) {
            verifiedDigests.put(verified.moveId(), verified.digest());
        } else if (migrationRecord instanceof MigrationRecord.CheckpointOpened opened) {
            openCheckpoint(opened);
        } else if (migrationRecord instanceof MigrationRecord.CheckpointPassed passed) {
            passCheckpoint(passed);
        } else if (migrationRecord instanceof MigrationRecord.Paused paused) {
            pauseReason = paused.reason();
            pauseDetail = paused.detail();
        } else if (migrationRecord instanceof MigrationRecord.Resumed resumed) {
            endPause();
            // Restarts the stall timeout of copies, which made no progress during the pause.
            since = resumed.at();
        } else if (migrationRecord instanceof MigrationRecord.RollbackStarted started) {
            enter(MigrationState.ROLLING_BACK, started.at());
            endPause();
            rollbackReason = started.reason();
        }
    }

    private void enter(MigrationState next, Duration at) {
        state = next;
        since = at;
        openCheckpoint = null;
    }

    private void openCheckpoint(MigrationRecord.CheckpointOpened opened) {
        enter(
                state == MigrationState.OBSERVING
                        ? MigrationState.RETIREMENT_CHECKPOINT
                        : MigrationState.SWITCH_CHECKPOINT,
                opened.at());
        checkpointsOpened++;
        openCheckpoint = new Checkpoint(opened.layoutVersion(), opened.digest());
    }

    private void passCheckpoint(MigrationRecord.CheckpointPassed passed) {
        if (openCheckpoint == null) {
            throw new IllegalArgumentException("no checkpoint of migration " + id + " is open");
        }
        passedCheckpoint = openCheckpoint;
        enter(
                state == MigrationState.RETIREMENT_CHECKPOINT
                        ? MigrationState.RETIRING
                        : MigrationState.SWITCHING,
                passed.at());
    }

    private void endPause() {
        pauseReason = null;
        pauseDetail = null;
    }

    /** Returns a record that holds the complete state. */
    MigrationRecord.Snapshot snapshot() {
        return new MigrationRecord.Snapshot(
                id,
                member,
                transfers,
                initialLayoutVersion,
                initialUtility,
                state,
                since,
                pauseReason,
                pauseDetail,
                new TreeMap<>(verifiedDigests),
                checkpointsOpened,
                openCheckpoint,
                passedCheckpoint,
                rollbackReason);
    }

    /** One line for operators: id, member, state, and reasons of a pause and a rollback. */
    public String summary() {
        return "migration "
                + id
                + " of "
                + member
                + " "
                + state.wireName()
                + (isPaused() ? ", paused: " + pauseDetail : "")
                + (rollbackReason == null ? "" : ", back: " + rollbackReason);
    }

    @Override
    public String toString() {
        return summary();
    }
}
