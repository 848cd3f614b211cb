package postbeam.migration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import postbeam.slices.JournalRecord;
import postbeam.slices.MoveJournalState;

/**
 * All migrations, derived from the records of the journal. Every prefix of the records gives a
 * valid state.
 */
public final class MigrationJournalState implements MoveJournalState.WorkflowState {
    /** Maximum number of finished migrations that are kept for operators. */
    private static final int MAX_FINISHED = 32;

    private final Map<Long, Migration> migrations = new TreeMap<>();
    private long lastId;

    /** The active and the latest finished migrations, ordered by id. */
    public Collection<Migration> migrations() {
        return migrations.values();
    }

    /** The migrations that have not ended, ordered by id. */
    public List<Migration> activeMigrations() {
        return migrations.values().stream()
                .filter(migration -> !migration.state().isFinal())
                .toList();
    }

    /** The active or recently finished migration with this id; empty if there is none. */
    public Optional<Migration> find(long id) {
        return Optional.ofNullable(migrations.get(id));
    }

    /** The active migration with this id; empty if there is none or it has ended. */
    public Optional<Migration> findActive(long id) {
        return find(id).filter(migration -> !migration.state().isFinal());
    }

    /** The id that the next created migration gets. */
    public long nextId() {
        return lastId + 1;
    }

    /** The active migration that moves the slice; empty if there is none. */
    public Optional<Migration> activeMigrationOf(int slice) {
        return activeMigrations().stream()
                .filter(migration -> migration.transferOf(slice).isPresent())
                .findFirst();
    }

    @Override
    public List<JournalRecord.WorkflowRecord> snapshotRecords() {
        List<JournalRecord.WorkflowRecord> records = new ArrayList<>();
        migrations.values().forEach(migration -> records.add(migration.snapshot()));
        return records;
    }

    @Override
    public void apply(JournalRecord.WorkflowRecord journalRecord) {
        if (!(journalRecord instanceof MigrationRecord migrationRecord)) {
            throw new IllegalArgumentException(
                    "expected a migration record, got " + journalRecord.getClass().getSimpleName());
        }
        if (migrationRecord instanceof MigrationRecord.Created created) {
            create(created);
        } else if (migrationRecord instanceof MigrationRecord.Snapshot snapshot) {
            restore(snapshot);
        } else {
            update(migrationRecord);
        }
    }

    private void create(MigrationRecord.Created created) {
        if (created.id() <= lastId) {
            throw new IllegalArgumentException(
                    "expected a migration id above " + lastId + ", got " + created.id());
        }
        lastId = created.id();
        migrations.put(lastId, new Migration(created));
    }

    private void restore(MigrationRecord.Snapshot snapshot) {
        lastId = Math.max(lastId, snapshot.id());
        migrations.put(snapshot.id(), new Migration(snapshot));
    }

    private void update(MigrationRecord migrationRecord) {
        Migration migration =
                findActive(migrationRecord.id())
                        .orElseThrow(
                                () ->
                                        new IllegalArgumentException(
                                                "record of migration "
                                                        + migrationRecord.id()
                                                        + ", which does not exist or has ended"));
        migration.apply(migrationRecord);
        if (migration.state().isFinal()) {
            evictFinished();
        }
    }

    private void evictFinished() {
        List<Migration> finished =
                migrations.values().stream()
                        .filter(migration -> migration.state().isFinal())
                        .toList();
        finished.stream()
                .limit(Math.max(0, finished.size() - MAX_FINISHED))
                .forEach(migration -> migrations.remove(migration.id));
    }
}
