package postbeam.layouts;

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
import postbeam.migration.Cause;
import postbeam.migration.Checkpoint;
import postbeam.migration.Hop;
import postbeam.migration.MigrationBook;
import postbeam.migration.Noted;
import postbeam.migration.Stage;
import postbeam.setup.Json;
import postbeam.slices.Book;
import postbeam.slices.Change;
import postbeam.slices.Holder;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.Logged;
import postbeam.slices.Move;
import postbeam.slices.MoveState;
import postbeam.slices.Retired;
import postbeam.slices.Slice;
import postbeam.slices.Target;

/**
 * Logs that earlier versions wrote stay readable, and each record is still written with the same
 * bytes.
 */
class StoredMoveRecordsTest {
    private static final Duration AT = Duration.ofMillis(1_700_000_000_123L);
    private static final String DIGEST = "5c".repeat(32);
    private static final int HISTORY = 10;

    /** More records than a log takes before it is compacted. */
    private static final int ENOUGH_TO_COMPACT = 1001;

    @TempDir private Path dir;

    private static Layout layout() {
        return Layout.checked(
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
                        new Slice(6, new KeyRange(400, KeyRange.KEYS), 5, holders("n \"4\" é"))),
                List.of(
                        new Retired(2, new KeyRange(200, 400), 1, 4, List.of(4, 5)),
                        new Retired(3, new KeyRange(400, KeyRange.KEYS), 1, 5, List.of(6))));
    }

    private static List<Holder> holders(String... nodes) {
        List<Holder> holders = new ArrayList<>();
        for (String node : nodes) {
            holders.add(new Holder(node, Duration.ZERO));
        }
        return holders;
    }

    private static Target target() {
        return new Target(
                List.of(
                        new Target.Wanted(new KeyRange(0, 400), List.of("n1", "n3")),
                        new Target.Wanted(new KeyRange(400, KeyRange.KEYS), List.of("n2"))));
    }

    /** A snapshot with a move in each state that is not final. */
    private static Logged.Whole snapshot() {
        KeyRange keys = new KeyRange(400, KeyRange.KEYS);
        List<Logged.Standing> moves = new ArrayList<>();
        long id = 0;
        for (MoveState state :
                List.of(
                        MoveState.PLANNED,
                        MoveState.COPYING,
                        MoveState.HOLDING_BOTH,
                        MoveState.FENCED,
                        MoveState.CUT_OVER,
                        MoveState.ABANDONING)) {
            boolean abandoned = state == MoveState.ABANDONING;
            moves.add(
                    new Logged.Standing(
                            ++id,
                            new Change.Move(6, "n4", "n1"),
                            List.of(),
                            List.of(new Move.Gain("n1", 6, keys, "n4")),
                            List.of(new Move.Loss("n4", 6, keys)),
                            AT,
                            state,
                            AT.plusMillis(id),
                            abandoned ? "it is stuck" : null,
                            state == MoveState.CUT_OVER,
                            state == MoveState.FENCED || abandoned));
        }
        return new Logged.Whole(
                layout(), 5, id, 6, moves, target(), List.of(new Move.Loss("n4", 6, keys)));
    }

    /** Records of moves, of every kind; they are written before terms are kept. */
    private static List<Logged> moveRecords() {
        List<Logged> records = new ArrayList<>();
        records.add(
                new Logged.Planned(
                        7, new Change.Split(0, List.of(30L, 60L)), List.of(7, 8, 9), null, AT));
        records.add(new Logged.Planned(8, new Change.Merge(List.of(4, 5)), List.of(10), null, AT));
        records.add(new Logged.Planned(9, new Change.Move(1, "n1", "n3"), List.of(), "n2", AT));
        records.add(new Logged.Planned(10, new Change.Move(6, null, "n3"), List.of(), "n1", AT));
        records.add(new Logged.Planned(11, new Change.Move(6, "n4", null), List.of(), null, AT));
        records.add(new Logged.CutOver(7, 6, AT));
        records.add(new Logged.Abandoning(7, "by an operator", AT));
        records.add(new Logged.Abandoning(9, "node n3 is gone", AT));
        records.add(new Logged.Back(9, 7, AT));
        for (MoveState state : MoveState.values()) {
            records.add(new Logged.Advanced(state == MoveState.ABANDONED ? 10 : 11, state, AT));
            if (state == MoveState.FORGOTTEN) {
                records.add(
                        new Logged.Planned(
                                12, new Change.Move(6, null, "n2"), List.of(), "n1", AT));
                records.add(new Logged.Advanced(12, MoveState.COPYING, AT));
                break;
            }
        }
        records.add(new Logged.Advanced(12, MoveState.ABANDONING, AT));
        records.add(new Logged.Advanced(10, MoveState.ABANDONED, AT));
        records.add(new Logged.Owed(new Move.Loss("n2", 1, new KeyRange(100, 200)), true));
        records.add(
                new Logged.Owed(new Move.Loss("n4", 6, new KeyRange(400, KeyRange.KEYS)), false));
        records.add(new Logged.Aimed(null));
        records.add(new Logged.Aimed(target()));
        return records;
    }

    /** Records of migrations, of every kind and stage; they carry the writer's term. */
    private static List<Logged> migrationRecords() {
        List<Hop> hops = List.of(new Hop(1, "n2", "n3"), new Hop(5, "n2", "n4"));
        List<Logged> records = new ArrayList<>();
        long id = 0;
        for (Stage stage : Stage.values()) {
            id++;
            records.add(new Noted.Opened(id, "member " + id, hops, 7, 0.25, AT));
            records.add(new Noted.Entered(id, stage, AT));
        }
        records.add(new Noted.Verified(2, 9, DIGEST));
        for (Cause cause : Cause.values()) {
            records.add(new Noted.Paused(3, cause, "because", AT));
        }
        records.add(new Noted.Paused(2, Cause.DIFFERS, "slice 1 differs", AT));
        records.add(new Noted.Paused(4, Cause.OPERATOR, "by an operator", AT));
        records.add(new Noted.Resumed(4, AT));
        records.add(new Noted.Opening(6, 7, DIGEST, AT));
        records.add(new Noted.Passed(6, AT));
        records.add(new Noted.Opening(7, 7, DIGEST, AT));
        records.add(new Noted.RollingBack(8, "by an operator", AT));
        records.add(
                new Noted.Standing(
                        21,
                        "silver",
                        hops,
                        7,
                        0,
                        Stage.PLANNED,
                        AT,
                        null,
                        null,
                        Map.of(),
                        0,
                        null,
                        null,
                        null));
        records.add(
                new Noted.Standing(
                        22,
                        "gold",
                        hops,
                        7,
                        1.5,
                        Stage.ROLLING_BACK,
                        AT,
                        Cause.STARVED,
                        "slow",
                        Map.of(3L, DIGEST),
                        2,
                        new Checkpoint(8, DIGEST),
                        new Checkpoint(7, DIGEST),
                        "by an operator"));
        return records;
    }

    private static Book book() {
        Book book = new Book(HISTORY);
        book.others(new MigrationBook());
        return book;
    }

    /**
     * The log as it is written; the term is taken over between the records of moves and those of
     * migrations.
     */
    private Path written() throws IOException {
        Path file = dir.resolve("written.bin");
        Book book = book();
        try (MoveLog log = MoveLog.open(file, book, snapshot())) {
            for (Logged record : moveRecords()) {
                book.apply(record);
                log.append(record);
            }
            log.takeOffice(book);
            for (Logged record : migrationRecords()) {
                book.apply(record);
                log.append(record);
            }
        }
        return file;
    }

    private Path sample(String name) throws IOException {
        return Files.write(dir.resolve(name), Samples.bytes(name));
    }

    private static List<String> state(Book book) {
        List<String> lines = new ArrayList<>();
        lines.add(new String(RecordForm.write(book.whole()), StandardCharsets.UTF_8));
        book.rest()
                .forEach(
                        record ->
                                lines.add(
                                        new String(
                                                RecordForm.write(record), StandardCharsets.UTF_8)));
        return lines;
    }

    @Test
    void eachStoredRecordIsReadAndWrittenWithTheSameBytes() throws IOException {
        List<String> written = new ArrayList<>();
        for (String line : Samples.lines("move-records.jsonl")) {
            Map<String, Object> object = Json.object(line.getBytes(StandardCharsets.UTF_8));
            written.add(
                    new String(
                            RecordForm.write(RecordForm.read(object), RecordForm.term(object)),
                            StandardCharsets.UTF_8));
        }
        Samples.assertSameLines("move-records.jsonl", written);
    }

    @Test
    void recordsOfEveryKindAreWrittenAsBefore() {
        List<String> written = new ArrayList<>();
        List<Logged> records = new ArrayList<>(List.of(snapshot()));
        records.addAll(moveRecords());
        records.forEach(
                record ->
                        written.add(new String(RecordForm.write(record), StandardCharsets.UTF_8)));
        records = new ArrayList<>(List.of(new Logged.Office(1)));
        records.addAll(migrationRecords());
        records.forEach(
                record ->
                        written.add(
                                new String(RecordForm.write(record, 1), StandardCharsets.UTF_8)));
        Samples.assertSameLines("move-records.jsonl", written);
    }

    @Test
    void aLogIsWrittenWithTheSameBytes() throws IOException {
        Samples.assertSameBytes("move-journal.bin", Files.readAllBytes(written()));
    }

    @Test
    void aStoredLogIsReadToTheSameState() throws IOException {
        Book book = book();
        try (MoveLog log = MoveLog.open(sample("move-journal.bin"), book, null)) {
            assertEquals(0, log.cut());
        }
        Samples.assertSameLines("move-journal-state.jsonl", state(book));
    }

    @Test
    void aStoredLogIsCompactedToTheSameBytes() throws IOException {
        Path file = sample("move-journal.bin");
        Book book = book();
        try (MoveLog log = MoveLog.open(file, book, null)) {
            log.takeOffice(book);
            for (int i = 0; i < ENOUGH_TO_COMPACT; i++) {
                log.append(new Logged.Aimed(target()));
            }
            log.compact(book);
        }
        Samples.assertSameBytes("move-journal-compacted.bin", Files.readAllBytes(file));
    }

    @Test
    void aStoredCompactedLogIsReadToTheSameState() throws IOException {
        Book book = book();
        MoveLog.open(sample("move-journal-compacted.bin"), book, null).close();
        List<String> state =
                Samples.lines("move-journal-state.jsonl").stream()
                        .map(
                                line ->
                                        line.replace(
                                                "{\"kind\":\"office\",\"office\":1}",
                                                "{\"kind\":\"office\",\"office\":2}"))
                        .toList();
        assertEquals(String.join("\n", state), String.join("\n", state(book)));
    }

    @Test
    void aStoredLayoutIsReadAndWrittenWithTheSameBytes() throws IOException {
        Samples.assertSameBytes("layout.json", LayoutForm.write(layout()));
        byte[] stored = Samples.bytes("layout.json");
        Samples.assertSameBytes(
                "layout.json", LayoutForm.write(LayoutForm.read(Json.object(stored))));
    }
}
