package postbeam.migration;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import postbeam.slices.JournalRecord;

/**
 * What migrations write into the journal of moves; each record is on disk before the step that it
 * is about. Times are spans since 1970.
 */
public sealed interface MigrationRecord extends JournalRecord.WorkflowRecord {
    /** The migration that it is about. */
    long id();

    /**
     * A member's migration is planned.
     *
     * @param layoutVersion of the layout in force
     * @param utility the member's utility, from 0 to 1; 0 where none was known
     */
    record Created(
            long id,
            String member,
            List<SliceTransfer> transfers,
            long layoutVersion,
            double utility,
            Duration at)
            implements MigrationRecord {
        /** Copies the transfers. */
        public Created {
            transfers = List.copyOf(transfers);
        }
    }

    /** The migration has entered this state. */
    record StateEntered(long id, MigrationState state, Duration at) implements MigrationRecord {}

    /** Both replicas of a move's slice are equal. */
    record MoveVerified(long id, long moveId, String digest) implements MigrationRecord {}

    /**
     * A checkpoint is open, for this version of the layout and this digest over what was verified.
     */
    record CheckpointOpened(long id, long layoutVersion, String digest, Duration at)
            implements MigrationRecord {}

    /** An operator passed the open checkpoint. */
    record CheckpointPassed(long id, Duration at) implements MigrationRecord {}

    /** The migration is paused; operators are shown the detail. */
    record Paused(long id, PauseReason reason, String detail, Duration at)
            implements MigrationRecord {}

    /** An operator resumed the migration. */
    record Resumed(long id, Duration at) implements MigrationRecord {}

    /** The migration is being rolled back. */
    record RollbackStarted(long id, String reason, Duration at) implements MigrationRecord {}

    /** All of one migration; null where there is no pause, no checkpoint or no rollback. */
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
