package postbeam.migration;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import postbeam.slices.JournalRecord;

/**
 * What a migration writes into the log of moves; each is on disk before what it is about. Times are
 * since 1970.
 */
public sealed interface MigrationRecord extends JournalRecord.WorkflowRecord {
    long id();

    /**
     * A member's migration is planned at this version of the layout; utility 0 where none was told.
     */
    record Created(
            long id,
            String member,
            List<SliceTransfer> transfers,
            long layoutVersion,
            double utility,
            Duration at)
            implements MigrationRecord {
        public Created {
            transfers = List.copyOf(transfers);
        }
    }

    /** It has come to this stage. */
    record StateEntered(long id, MigrationState state, Duration at) implements MigrationRecord {}

    /** Both sides of a move agree. */
    record MoveVerified(long id, long moveId, String digest) implements MigrationRecord {}

    /** A checkpoint is open, for this version of the layout and this digest. */
    record CheckpointOpened(long id, long layoutVersion, String digest, Duration at)
            implements MigrationRecord {}

    /** An operator passed the one that was open. */
    record CheckpointPassed(long id, Duration at) implements MigrationRecord {}

    record Paused(long id, PauseReason reason, String detail, Duration at)
            implements MigrationRecord {}

    record Resumed(long id, Duration at) implements MigrationRecord {}

    record RollbackStarted(long id, String reason, Duration at) implements MigrationRecord {}

    /** All of one that stands; nulls where there is no pause, no checkpoint or no rollback. */
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
