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
 * All migrations, as the records of the journal add up to; any prefix of the records is a valid
 * state.
 */
public final class MigrationJournalState implements MoveJournalState.WorkflowState {
    /** Finished migrations that operators are still shown. */
    private static final int MAX_FINISHED = 32;

    private final Map<Long, Migration> migrations = new TreeMap<>();
    private long lastId;

    /** Those that are not over and the latest that are, by id. */
    public Collection<Migration> migrations() {
        return migrations.values();
    }

    /** Those that are not over, by id. */
    public List<Migration> activeMigrations() {
        return migrations.values().stream()
                .filter(migration -> !migration.state().isFinal())
                .toList();
    }

    /** Finished ones are found too, as long as operators are shown them. */
    public Optional<Migration> find(long id) {
        return Optional.ofNullable(migrations.get(id));
    }

    /** Empty where the migration is over. */
    public Optional<Migration> findActive(long id) {
        return find(id).filter(migration -> !migration.state().isFinal());
    }

    /** The id of the migration that is created next. */
    public long nextId() {
        return lastId + 1;
    }

    /** The migration that the slice belongs to and that is not over. */
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
            throw new IllegalArgumentException("a record of an unknown workflow");
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
            throw new IllegalArgumentException("migration " + created.id() + " is opened twice");
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
                                                "no migration "
                                                        + migrationRecord.id()
                                                        + " is open"));
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
