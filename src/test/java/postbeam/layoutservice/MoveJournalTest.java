package postbeam.layoutservice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import postbeam.slices.JournalRecord;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.LayoutChange;
import postbeam.slices.MoveJournalState;
import postbeam.slices.MoveState;
import postbeam.slices.TargetLayout;

/** Checks that the move journal is read back, repaired after a crash and compacted without loss. */
class MoveJournalTest {
    private static final Duration AT = Duration.ofMillis(1234);

    @TempDir private Path dir;

    private static JournalRecord.Snapshot initialSnapshot() {
        return new JournalRecord.Snapshot(
                Layout.initial(3, List.of("a", "b"), 2), 1, 0, 2, List.of(), null, List.of());
    }

    private static List<JournalRecord> records() {
        return List.of(
                new JournalRecord.Planned(
                        1, new LayoutChange.Split(0, List.of(5L, 9L)), List.of(3, 4, 5), null, AT),
                new JournalRecord.Advanced(1, MoveState.FENCED, AT),
                new JournalRecord.CutOver(1, 2, AT),
                new JournalRecord.Planned(
                        2, new LayoutChange.Transfer(1, "a", "c"), List.of(), "b", AT),
                new JournalRecord.AbandonRequested(2, "it was \"stuck\"", AT),
                new JournalRecord.RolledBack(2, 3, AT),
                new JournalRecord.TargetSet(
                        new TargetLayout(
                                List.of(
                                        new TargetLayout.DesiredSlice(
                                                KeyRange.ALL, List.of("a", "b"))))),
                new JournalRecord.Advanced(1, MoveState.COMPLETED, AT),
                new JournalRecord.Planned(
                        3, new LayoutChange.Merge(List.of(3, 4)), List.of(6), null, AT));
    }

    /** Writes all records; returns the file's size after the snapshot and after each record. */
    private List<Long> writeJournal(Path file) throws IOException {
        List<Long> ends = new ArrayList<>();
        try (MoveJournal journal =
                MoveJournal.open(file, new MoveJournalState(10), initialSnapshot())) {
            ends.add(Files.size(file));
            for (JournalRecord record : records()) {
                journal.append(record);
                ends.add(Files.size(file));
            }
        }
        return ends;
    }

    private static byte[] snapshot(MoveJournalState journalState) {
        return MoveRecordCodec.write(journalState.snapshot());
    }

    @Test
    void recordsAreReadBackToTheSameState() throws IOException {
        Path file = dir.resolve("moves.log");
        writeJournal(file);
        MoveJournalState expected = new MoveJournalState(10);
        expected.apply(initialSnapshot());
        records().forEach(expected::apply);
        MoveJournalState read = new MoveJournalState(10);
        MoveJournal.open(file, read, null).close();
        assertEquals(text(snapshot(expected)), text(snapshot(read)));
        MoveJournalState again = new MoveJournalState(10);
        again.apply(MoveRecordCodec.read(snapshot(read)));
        assertEquals(text(snapshot(read)), text(snapshot(again)));
    }

    @Test
    void tornTailOfAnyLengthIsRemovedAndItsVersionIsNotReused() throws IOException {
        Path file = dir.resolve("moves.log");
        List<Long> ends = writeJournal(file);
        byte[] fileBytes = Files.readAllBytes(file);
        for (int length = ends.get(0).intValue(); length < fileBytes.length; length++) {
            Path torn = dir.resolve("torn" + length);
            Files.write(torn, Arrays.copyOf(fileBytes, length));
            int intactRecords = 0;
            while (intactRecords + 1 < ends.size() && ends.get(intactRecords + 1) <= length) {
                intactRecords++;
            }
            MoveJournalState expected = new MoveJournalState(10);
            expected.apply(initialSnapshot());
            records().subList(0, intactRecords).forEach(expected::apply);
            MoveJournalState read = new MoveJournalState(10);
            try (MoveJournal journal = MoveJournal.open(torn, read, null)) {
                assertEquals(length - ends.get(intactRecords), journal.tornBytes());
                assertEquals(expected.activeMoves().size(), read.activeMoves().size());
                assertEquals(expected.layout().slices(), read.layout().slices());
                assertEquals(
                        expected.layout().version
                                + (journal.tornBytes() == 0
                                        ? 0
                                        : expected.nextVersion() + 1 - expected.layout().version),
                        read.layout().version);
            }
            MoveJournalState after = new MoveJournalState(10);
            MoveJournal.open(torn, after, null).close();
            assertEquals(text(snapshot(read)), text(snapshot(after)));
            Files.delete(torn);
        }
    }

    @Test
    void flippedBitBeforeTheLastRecordIsRejectedAndTheFileIsUnchanged() throws IOException {
        Path file = dir.resolve("moves.log");
        List<Long> ends = writeJournal(file);
        byte[] fileBytes = Files.readAllBytes(file);
        for (int offset = 0; offset < ends.get(ends.size() - 2); offset += 3) {
            byte[] damaged = fileBytes.clone();
            damaged[offset] = (byte) (damaged[offset] ^ (1 << (offset % 8)));
            Path flipped = dir.resolve("flipped");
            Files.write(flipped, damaged);
            assertThrows(
                    IOException.class,
                    () -> MoveJournal.open(flipped, new MoveJournalState(10), null).close(),
                    "byte " + offset);
            assertTrue(Arrays.equals(damaged, Files.readAllBytes(flipped)), "byte " + offset);
        }
    }

    @Test
    void compactionPreservesTheState() throws IOException {
        Path file = dir.resolve("moves.log");
        MoveJournalState journalState = new MoveJournalState(10);
        try (MoveJournal journal = MoveJournal.open(file, journalState, initialSnapshot())) {
            for (int i = 0; i < 1100; i++) {
                JournalRecord record =
                        new JournalRecord.TargetSet(
                                i % 2 == 0
                                        ? null
                                        : new TargetLayout(
                                                List.of(
                                                        new TargetLayout.DesiredSlice(
                                                                KeyRange.ALL, List.of("a", "b")))));
                journalState.apply(record);
                journal.append(record);
                journal.compact(journalState);
            }
        }
        assertTrue(Files.size(file) < 30_000, "size " + Files.size(file));
        MoveJournalState read = new MoveJournalState(10);
        MoveJournal.open(file, read, null).close();
        assertEquals(text(snapshot(journalState)), text(snapshot(read)));
    }

    @Test
    void journalInUseOrOfAnotherFormatOrMissingIsRejected() throws IOException {
        Path file = dir.resolve("moves.log");
        try (MoveJournal journal =
                MoveJournal.open(file, new MoveJournalState(10), initialSnapshot())) {
            assertEquals(0, journal.tornBytes());
            assertTrue(
                    assertThrows(
                                    IOException.class,
                                    () -> MoveJournal.open(file, new MoveJournalState(10), null))
                            .getMessage()
                            .contains("in use"));
        }
        Path other = dir.resolve("other");
        Files.writeString(other, "postbeam moves 2\n and more");
        assertTrue(
                assertThrows(
                                IOException.class,
                                () -> MoveJournal.open(other, new MoveJournalState(10), null))
                        .getMessage()
                        .contains("not a move journal of format 1"));
        assertThrows(
                IOException.class,
                () -> MoveJournal.open(dir.resolve("none"), new MoveJournalState(10), null));
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
