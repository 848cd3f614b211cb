package postbeam.migration;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import postbeam.slices.LayoutChange;

/** One member's migration, as the journal has it: it changes by {@link #apply} alone. */
public final class Migration {
    public final long id;
    public final String member;
    public final List<SliceTransfer> transfers;

    /** Version of the layout in force when the migration was created. */
    public final long initialLayoutVersion;

    /** The member's utility when the migration was created, from 0 to 1; 0 where none was known. */
    public final double initialUtility;

    private MigrationState state = MigrationState.PLANNED;
    private Duration since;
    private PauseReason pauseReason;
    private String pauseDetail;

    /** Digests of verified slices by the ids of their moves. */
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

    /** Its state, which stays while it is paused. */
    public MigrationState state() {
        return state;
    }

    /** When it entered this state, or was last resumed; a span since 1970. */
    public Duration since() {
        return since;
    }

    /** Whether it makes no progress until an operator resumes it or rolls it back. */
    public boolean isPaused() {
        return pauseReason != null;
    }

    /** Null where it is not paused. */
    public PauseReason pauseReason() {
        return pauseReason;
    }

    /** What operators are shown of the pause; null where it is not paused. */
    public String pauseDetail() {
        return pauseDetail;
    }

    /** The checkpoint that waits for an operator; null where none does. */
    public Checkpoint openCheckpoint() {
        return openCheckpoint;
    }

    /** The checkpoint that was passed last; null before the first. */
    Checkpoint passedCheckpoint() {
        return passedCheckpoint;
    }

    /** How many checkpoints have been opened. */
    int checkpointsOpened() {
        return checkpointsOpened;
    }

    /** Null where it was not rolled back. */
    public String rollbackReason() {
        return rollbackReason;
    }

    boolean isRollingBack() {
        return state == MigrationState.ROLLING_BACK;
    }

    /** Whether both replicas of the move's slice were found equal. */
    boolean isVerified(long moveId) {
        return verifiedDigests.containsKey(moveId);
    }

    /** The transfer of the slice; empty where the slice is not part of this migration. */
    public Optional<SliceTransfer> transferOf(int slice) {
        return transfers.stream().filter(transfer -> transfer.slice() == slice).findFirst();
    }

    /** The transfer's change in the current direction, forward or back. */
    LayoutChange nextChange(SliceTransfer transfer) {
        return isRollingBack() ? transfer.reverseChange() : transfer.forwardChange();
    }

    /**
     * What an operator passes a checkpoint for: a digest over what was verified. It counts the
     * checkpoints too, so that a command for an earlier one is stale. Checkpoints are on disk: the
     * form stays.
     */
    String checkpointDigest() {
        String verified =
                verifiedDigests.entrySet().stream()
                        .map(entry -> entry.getKey() + "=" + entry.getValue())
                        .collect(Collectors.joining(", ", "{", "}"));
        return Digests.sha256(id + " " + checkpointsOpened + " " + verified);
    }

    // ---- changes

    /**
     * Takes over a record of this migration; an IllegalArgumentException says why it can't follow.
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
            // Copies that stood still during the pause get their time again.
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

    /** One record with all of its state. */
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

    /** One line for operators, which the layout service answers to their commands. */
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
