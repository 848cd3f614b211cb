package postbeam.migration;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import postbeam.slices.JournalRecord;

/**
 * Records that migrations write to the journal of moves. Each record is on disk before the step
 * that it describes is carried out. Times are durations since the Unix epoch.
 */
public sealed interface MigrationRecord extends JournalRecord.WorkflowRecord {
    /** The id of the migration that the record belongs to. */
    long id();

    /**
     * A member's migration was created.
     *
     * @param layoutVersion version of the layout in force
     * @param utility the member's utility, from 0 to 1; 0 if it was unknown
     */
    record Created(
            long id,
            String member,
            List<SliceTransfer> transfers,
            long layoutVersion,
            double utility,
            Duration at)
            implements MigrationRecord {
        /** Makes an immutable copy of the transfers. */
        public Created {
            transfers = List.copyOf(transfers);
        }
    }

    /** The migration entered this state. */
    record StateEntered(long id, MigrationState state, Duration at) implements MigrationRecord {}

    /** The replicas of a move's slice at source and target were found equal. */
    record MoveVerified(long id, long moveId, String digest) implements MigrationRecord {}

    /** A checkpoint was opened for this layout version and this digest over the verified moves. */
    record CheckpointOpened(long id, long layoutVersion, String digest, Duration at)
            implements MigrationRecord {}

    /** An operator passed the open checkpoint. */
    record CheckpointPassed(long id, Duration at) implements MigrationRecord {}

    /** The migration was paused; the detail describes the pause for operators. */
    record Paused(long id, PauseReason reason, String detail, Duration at)
            implements MigrationRecord {}

    /** An operator resumed the migration. */
    record Resumed(long id, Duration at) implements MigrationRecord {}

    /** The rollback of the migration was started. */
    record RollbackStarted(long id, String reason, Duration at) implements MigrationRecord {}

    /**
     * The complete state of a migration. The fields of the pause, of the checkpoints and of the
     * rollback are null if the migration has no pause, no checkpoint or no rollback.
     */
    record Snapshot(
            long id,
            String member,
            List<SliceTransfer> transfers,
            long initialLayoutVersion,
            double initialUtility,
            MigrationState state,
            Duration since,
            PauseReason pauseReason,
            String pauseDetail,
            Map<Long, String> verifiedDigests,
            int checkpointsOpened,
            Checkpoint openCheckpoint,
            Checkpoint passedCheckpoint,
            String rollbackReason)
            implements MigrationRecord {}
}
