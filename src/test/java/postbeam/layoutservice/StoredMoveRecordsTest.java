package postbeam.layoutservice;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import postbeam.json.Json;
import postbeam.migration.Checkpoint;
import postbeam.migration.MigrationJournalState;
import postbeam.migration.MigrationRecord;
import postbeam.migration.MigrationState;
import postbeam.migration.PauseReason;
import postbeam.migration.SliceTransfer;
import postbeam.slices.Holder;
import postbeam.slices.JournalRecord;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.LayoutChange;
import postbeam.slices.Move;
import postbeam.slices.MoveJournalState;
import postbeam.slices.MoveState;
import postbeam.slices.RetiredSlice;
import postbeam.slices.Slice;
import postbeam.slices.TargetLayout;

/**
 * Checks that journals of earlier versions stay readable, and that each record is still written
 * with the same bytes.
 */
class StoredMoveRecordsTest {
    private static final Duration AT = Duration.ofMillis(1_700_000_000_123L);
    private static final String DIGEST = "5c".repeat(32);
    private static final int HISTORY = 10;

    /** One more than the number of records after which a journal is compacted. */
    private static final int COMPACTION_RECORDS = 1001;

    @TempDir private Path dir;

    private static Layout layout() {
        return Layout.validated(
                5,
                3,
                List.of(
                        new Slice(0, new KeyRange(0, 100), 1, holders("n1", "n2")),
                        new Slice(1, new KeyRange(100, 200), 1, holders("n1", "n2")),
                        new Slice(
                                4,
                                new KeyRange(200, 300),
                                4,
                                List.of(new Holder("n2", Duration.ZERO), new Holder("n3", AT))),
                        new Slice(5, new KeyRange(300, 400), 4, holders("n2", "n3")),
                        new Slice(
                                6,
                                new KeyRange(400, KeyRange.KEY_SPACE_SIZE),
                                5,
                                holders("n \"4\" é"))),
                List.of(
                        new RetiredSlice(2, new KeyRange(200, 400), 1, 4, List.of(4, 5)),
                        new RetiredSlice(
                                3, new KeyRange(400, KeyRange.KEY_SPACE_SIZE), 1, 5, List.of(6))));
    }

    private static List<Holder> holders(String... nodes) {
        List<Holder> holders = new ArrayList<>();
        for (String node : nodes) {
            holders.add(new Holder(node, Duration.ZERO));
        }
        return holders;
    }

    private static TargetLayout target() {
        return new TargetLayout(
                List.of(
                        new TargetLayout.DesiredSlice(new KeyRange(0, 400), List.of("n1", "n3")),
                        new TargetLayout.DesiredSlice(
                                new KeyRange(400, KeyRange.KEY_SPACE_SIZE), List.of("n2"))));
    }

    /** A snapshot with a move in each state that is not final. */
    private static JournalRecord.Snapshot snapshot() {
        KeyRange keys = new KeyRange(400, KeyRange.KEY_SPACE_SIZE);
        List<JournalRecord.MoveSnapshot> moves = new ArrayList<>();
        long id = 0;
        for (MoveState state :
                List.of(
                        MoveState.PLANNED,
                        MoveState.COPYING,
                        MoveState.REPLICATING,
                        MoveState.FENCED,
                        MoveState.CUT_OVER,
                        MoveState.ABANDONING)) {
            boolean abandoned = state == MoveState.ABANDONING;
            moves.add(
                    new JournalRecord.MoveSnapshot(
                            ++id,
                            new LayoutChange.Transfer(6, "n4", "n1"),
                            List.of(),
                            List.of(new Move.Destination("n1", 6, keys, "n4")),
                            List.of(new Move.OldHolder("n4", 6, keys)),
                            AT,
                            state,
                            AT.plusMillis(id),
                            abandoned ? "it is stuck" : null,
                            state == MoveState.CUT_OVER,
                            state == MoveState.FENCED || abandoned));
        }
        return new JournalRecord.Snapshot(
                layout(), 5, id, 6, moves, target(), List.of(new Move.OldHolder("n4", 6, keys)));
    }

    /** Move records of every kind; they are written without a term. */
    private static List<JournalRecord> moveRecords() {
        List<JournalRecord> records = new ArrayList<>();
        records.add(
                new JournalRecord.Planned(
                        7,
                        new LayoutChange.Split(0, List.of(30L, 60L)),
                        List.of(7, 8, 9),
                        null,
                        AT));
        records.add(
                new JournalRecord.Planned(
                        8, new LayoutChange.Merge(List.of(4, 5)), List.of(10), null, AT));
        records.add(
                new JournalRecord.Planned(
                        9, new LayoutChange.Transfer(1, "n1", "n3"), List.of(), "n2", AT));
        records.add(
                new JournalRecord.Planned(
                        10, new LayoutChange.Transfer(6, null, "n3"), List.of(), "n1", AT));
        records.add(
                new JournalRecord.Planned(
                        11, new LayoutChange.Transfer(6, "n4", null), List.of(), null, AT));
        records.add(new JournalRecord.CutOver(7, 6, AT));
        records.add(new JournalRecord.AbandonRequested(7, "by an operator", AT));
        records.add(new JournalRecord.AbandonRequested(9, "node n3 is gone", AT));
        records.add(new JournalRecord.RolledBack(9, 7, AT));
        for (MoveState state : MoveState.values()) {
            records.add(
                    new JournalRecord.Advanced(state == MoveState.ABANDONED ? 10 : 11, state, AT));
            if (state == MoveState.COMPLETED) {
                records.add(
                        new JournalRecord.Planned(
                                12, new LayoutChange.Transfer(6, null, "n2"), List.of(), "n1", AT));
                records.add(new JournalRecord.Advanced(12, MoveState.COPYING, AT));
                break;
            }
        }
        records.add(new JournalRecord.Advanced(12, MoveState.ABANDONING, AT));
        records.add(new JournalRecord.Advanced(10, MoveState.ABANDONED, AT));
        records.add(
                new JournalRecord.PendingDrop(
                        new Move.OldHolder("n2", 1, new KeyRange(100, 200)), true));
        records.add(
                new JournalRecord.PendingDrop(
                        new Move.OldHolder("n4", 6, new KeyRange(400, KeyRange.KEY_SPACE_SIZE)),
                        false));
        records.add(new JournalRecord.TargetSet(null));
        records.add(new JournalRecord.TargetSet(target()));
        return records;
    }

    /** Migration records of every kind and state; they are written with the writer's term. */
    private static List<JournalRecord> migrationRecords() {
        List<SliceTransfer> transfers =
                List.of(new SliceTransfer(1, "n2", "n3"), new SliceTransfer(5, "n2", "n4"));
        List<JournalRecord> records = new ArrayList<>();
        long id = 0;
        for (MigrationState migrationState : MigrationState.values()) {
            id++;
            records.add(new MigrationRecord.Created(id, "member " + id, transfers, 7, 0.25, AT));
            records.add(new MigrationRecord.StateEntered(id, migrationState, AT));
        }
        records.add(new MigrationRecord.MoveVerified(2, 9, DIGEST));
        for (PauseReason pauseReason : PauseReason.values()) {
            records.add(new MigrationRecord.Paused(3, pauseReason, "because", AT));
        }
        records.add(
                new MigrationRecord.Paused(2, PauseReason.DIGEST_MISMATCH, "slice 1 differs", AT));
        records.add(new MigrationRecord.Paused(4, PauseReason.OPERATOR, "by an operator", AT));
        records.add(new MigrationRecord.Resumed(4, AT));
        records.add(new MigrationRecord.CheckpointOpened(6, 7, DIGEST, AT));
        records.add(new MigrationRecord.CheckpointPassed(6, AT));
        records.add(new MigrationRecord.CheckpointOpened(7, 7, DIGEST, AT));
        records.add(new MigrationRecord.RollbackStarted(8, "by an operator", AT));
        records.add(
                new MigrationRecord.Snapshot(
                        21,
                        "silver",
                        transfers,
                        7,
                        0,
                        MigrationState.PLANNED,
                        AT,
                        null,
                        null,
                        Map.of(),
                        0,
                        null,
                        null,
                        null));
        records.add(
                new MigrationRecord.Snapshot(
                        22,
                        "gold",
                        transfers,
                        7,
                        1.5,
                        MigrationState.ROLLING_BACK,
                        AT,
                        PauseReason.STALLED,
                        "slow",
                        Map.of(3L, DIGEST),
                        2,
                        new Checkpoint(8, DIGEST),
                        new Checkpoint(7, DIGEST),
                        "by an operator"));
        return records;
    }

    private static MoveJournalState emptyState() {
        MoveJournalState journalState = new MoveJournalState(HISTORY);
        journalState.setWorkflow(new MigrationJournalState());
        return journalState;
    }

    /**
     * Writes a journal of the recorded move records, the start of a term and the recorded migration
     * records, in this order.
     */
    private Path written() throws IOException {
        Path file = dir.resolve("written.bin");
        MoveJournalState journalState = emptyState();
        try (MoveJournal journal = MoveJournal.open(file, journalState, snapshot())) {
            for (JournalRecord record : moveRecords()) {
                journalState.apply(record);
                journal.append(record);
            }
            journal.startTerm(journalState);
            for (JournalRecord record : migrationRecords()) {
                journalState.apply(record);
                journal.append(record);
            }
        }
        return file;
    }

    private Path sample(String name) throws IOException {
        return Files.write(dir.resolve(name), Samples.bytes(name));
    }

    private static List<String> state(MoveJournalState journalState) {
        List<String> lines = new ArrayList<>();
        lines.add(
                new String(MoveRecordCodec.write(journalState.snapshot()), StandardCharsets.UTF_8));
        journalState
                .recordsAfterSnapshot()
                .forEach(
                        record ->
                                lines.add(
                                        new String(
                                                MoveRecordCodec.write(record),
                                                StandardCharsets.UTF_8)));
        return lines;
    }

    @Test
    void eachStoredRecordIsReadAndWrittenWithTheSameBytes() throws IOException {
        List<String> written = new ArrayList<>();
        for (String line : Samples.lines("move-records.jsonl")) {
            Map<String, Object> object = Json.parseObject(line.getBytes(StandardCharsets.UTF_8));
            written.add(
                    new String(
                            MoveRecordCodec.write(
                                    MoveRecordCodec.read(object), MoveRecordCodec.term(object)),
                            StandardCharsets.UTF_8));
        }
        Samples.assertSameLines("move-records.jsonl", written);
    }

    /** A stored transfer without the member must fence the old holder; see the recorded lines. */
    @Test
    void statementThatTheOldHolderIsDeadIsStored() throws IOException {
        String line =
                "{\"kind\":\"planned\",\"move\":13,\"at_ms\":1700000000123,\"change\":{\"move\":2,"
                    + "\"off\":\"n1\",\"onto\":\"n3\",\"dead\":true},\"births\":[],\"source\":\"n2\"}";
        JournalRecord record =
                new JournalRecord.Planned(
                        13, new LayoutChange.Transfer(2, "n1", "n3", true), List.of(), "n2", AT);
        assertEquals(line, new String(MoveRecordCodec.write(record), StandardCharsets.UTF_8));
        assertEquals(record, MoveRecordCodec.read(line.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void writingRecordsOfEveryKindProducesRecordedLines() {
        List<String> written = new ArrayList<>();
        List<JournalRecord> records = new ArrayList<>(List.of(snapshot()));
        records.addAll(moveRecords());
        records.forEach(
                record ->
                        written.add(
                                new String(MoveRecordCodec.write(record), StandardCharsets.UTF_8)));
        records = new ArrayList<>(List.of(new JournalRecord.TermStarted(1)));
        records.addAll(migrationRecords());
        records.forEach(
                record ->
                        written.add(
                                new String(
                                        MoveRecordCodec.write(record, 1), StandardCharsets.UTF_8)));
        Samples.assertSameLines("move-records.jsonl", written);
    }

    @Test
    void writingJournalProducesRecordedBytes() throws IOException {
        Samples.assertSameBytes("move-journal.bin", Files.readAllBytes(written()));
    }

    @Test
    void readingStoredJournalRestoresRecordedState() throws IOException {
        MoveJournalState journalState = emptyState();
        try (MoveJournal journal =
                MoveJournal.open(sample("move-journal.bin"), journalState, null)) {
            assertEquals(0, journal.tornBytes());
        }
        Samples.assertSameLines("move-journal-state.jsonl", state(journalState));
    }

    @Test
    void compactingStoredJournalWritesRecordedBytes() throws IOException {
        Path file = sample("move-journal.bin");
        MoveJournalState journalState = emptyState();
        try (MoveJournal journal = MoveJournal.open(file, journalState, null)) {
            journal.startTerm(journalState);
            for (int i = 0; i < COMPACTION_RECORDS; i++) {
                journal.append(new JournalRecord.TargetSet(target()));
            }
            journal.compact(journalState);
        }
        Samples.assertSameBytes("move-journal-compacted.bin", Files.readAllBytes(file));
    }

    @Test
    void readingStoredCompactedJournalRestoresRecordedStateInNextTerm() throws IOException {
        MoveJournalState journalState = emptyState();
        MoveJournal.open(sample("move-journal-compacted.bin"), journalState, null).close();
        List<String> state =
                Samples.lines("move-journal-state.jsonl").stream()
                        .map(
                                line ->
                                        line.replace(
                                                "{\"kind\":\"office\",\"office\":1}",
                                                "{\"kind\":\"office\",\"office\":2}"))
                        .toList();
        assertEquals(String.join("\n", state), String.join("\n", state(journalState)));
    }

    @Test
    void storedLayoutIsReadAndWrittenWithTheSameBytes() throws IOException {
        Samples.assertSameBytes("layout.json", LayoutCodec.write(layout()));
        byte[] stored = Samples.bytes("layout.json");
        Samples.assertSameBytes(
                "layout.json", LayoutCodec.write(LayoutCodec.read(Json.parseObject(stored))));
    }
}
