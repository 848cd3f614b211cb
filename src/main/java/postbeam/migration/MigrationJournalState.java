package postbeam.migration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import postbeam.slices.JournalRecord;
import postbeam.slices.MoveJournalState;

/** What the records of migrations add up to, whichever of them are there yet. */
public final class MigrationJournalState implements MoveJournalState.WorkflowState {
    /** Migrations that are over and still shown to operators. */
    private static final int MAX_FINISHED = 32;

    private final Map<Long, Migration> migrations = new TreeMap<>();
    private long lastId;

    /** Those that are not over, the oldest first, then those that are. */
    public Collection<Migration> migrations() {
        return migrations.values();
    }

    public List<Migration> activeMigrations() {
        return migrations.values().stream().filter(one -> !one.state.isFinal()).toList();
    }

    /** Null where there is none of that number. */
    public Migration find(long id) {
        return migrations.get(id);
    }

    public long nextId() {
        return lastId + 1;
    }

    /** The open migration that a slice belongs to; null where it belongs to none. */
    public Migration activeMigrationOf(int slice) {
        for (Migration one : migrations.values()) {
            if (!one.state.isFinal() && one.transferOf(slice) != null) {
                return one;
            }
        }
        return null;
    }

    @Override
    public List<JournalRecord.WorkflowRecord> snapshotRecords() {
        List<JournalRecord.WorkflowRecord> records = new ArrayList<>();
        migrations.values().forEach(one -> records.add(one.snapshot()));
        return records;
    }

    @Override
    public void apply(JournalRecord.WorkflowRecord record) {
        if (!(record instanceof MigrationRecord noted)) {
            throw new IllegalArgumentException("a record of an unknown workflow");
        }
        if (noted instanceof MigrationRecord.Created opened) {
            if (opened.id() <= lastId) {
                throw new IllegalArgumentException("migration " + opened.id() + " is opened twice");
            }
            lastId = opened.id();
            migrations.put(
                    lastId,
                    new Migration(
                            lastId,
                            opened.member(),
                            opened.transfers(),
                            opened.layoutVersion(),
                            opened.utility(),
                            opened.at()));
            return;
        }
        if (noted instanceof MigrationRecord.Snapshot standing) {
            lastId = Math.max(lastId, standing.id());
            migrations.put(standing.id(), Migration.fromSnapshot(standing));
            return;
        }
        Migration one = migrations.get(noted.id());
        if (one == null || one.state.isFinal()) {
            throw new IllegalArgumentException("no migration " + noted.id() + " is open");
        }
        apply(one, noted);
        if (one.state.isFinal()) {
            evictFinished();
        }
    }

    private static void apply(Migration one, MigrationRecord noted) {
        if (noted instanceof MigrationRecord.StateEntered entered) {
            one.state = entered.state();
            one.since = entered.at();
            one.openCheckpoint = null;
        } else if (noted instanceof MigrationRecord.MoveVerified verified) {
            one.verifiedDigests.put(verified.moveId(), verified.digest());
        } else if (noted instanceof MigrationRecord.CheckpointOpened opening) {
            one.state =
                    one.state == MigrationState.OBSERVING
                            ? MigrationState.RETIREMENT_CHECKPOINT
                            : MigrationState.SWITCH_CHECKPOINT;
            one.since = opening.at();
            one.checkpointsOpened++;
            one.openCheckpoint = new Checkpoint(opening.layoutVersion(), opening.digest());
        } else if (noted instanceof MigrationRecord.CheckpointPassed passed) {
            if (one.openCheckpoint == null) {
                throw new IllegalArgumentException(
                        "no checkpoint of migration " + one.id + " is open");
            }
            one.state =
                    one.state == MigrationState.RETIREMENT_CHECKPOINT
                            ? MigrationState.RETIRING
                            : MigrationState.SWITCHING;
            one.since = passed.at();
            one.passedCheckpoint = one.openCheckpoint;
            one.openCheckpoint = null;
        } else if (noted instanceof MigrationRecord.Paused paused) {
            one.pauseReason = paused.reason();
            one.pauseDetail = paused.detail();
        } else if (noted instanceof MigrationRecord.Resumed resumed) {
            one.pauseReason = null;
            one.pauseDetail = null;
            // What was slow while it stood still is given its time again.
            one.since = resumed.at();
        } else if (noted instanceof MigrationRecord.RollbackStarted back) {
            one.state = MigrationState.ROLLING_BACK;
            one.since = back.at();
            one.rollbackReason = back.reason();
            one.openCheckpoint = null;
            one.pauseReason = null;
            one.pauseDetail = null;
        }
    }

    private void evictFinished() {
        List<Migration> over =
                migrations.values().stream().filter(one -> one.state.isFinal()).toList();
        over.stream()
                .limit(Math.max(0, over.size() - MAX_FINISHED))
                .forEach(one -> migrations.remove(one.id));
    }
}
