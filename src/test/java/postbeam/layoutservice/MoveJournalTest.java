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

    private static JournalRecord.Snapshot first() {
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
    private List<Long> written(Path file) throws IOException {
        List<Long> ends = new ArrayList<>();
        try (MoveJournal log = MoveJournal.open(file, new MoveJournalState(10), first())) {
            ends.add(Files.size(file));
            for (JournalRecord record : records()) {
                log.append(record);
                ends.add(Files.size(file));
            }
        }
        return ends;
    }

    private static byte[] snapshot(MoveJournalState journalState) {
        return MoveRecordCodec.write(journalState.snapshot());
    }

    @Test
    void recordsComeBackAsTheyWere() throws IOException {
        Path file = dir.resolve("moves.log");
        written(file);
        MoveJournalState expected = new MoveJournalState(10);
        expected.apply(first());
        records().forEach(expected::apply);
        MoveJournalState read = new MoveJournalState(10);
        MoveJournal.open(file, read, null).close();
        assertEquals(text(snapshot(expected)), text(snapshot(read)));
        MoveJournalState again = new MoveJournalState(10);
        again.apply(MoveRecordCodec.read(snapshot(read)));
        assertEquals(text(snapshot(read)), text(snapshot(again)));
    }

    @Test
    void aTornTailIsCutOffAtEachByteAndItsVersionNotUsedAgain() throws IOException {
        Path file = dir.resolve("moves.log");
        List<Long> ends = written(file);
        byte[] all = Files.readAllBytes(file);
        for (int length = ends.get(0).intValue(); length < all.length; length++) {
            Path torn = dir.resolve("torn" + length);
            Files.write(torn, Arrays.copyOf(all, length));
            int sound = 0;
            while (sound + 1 < ends.size() && ends.get(sound + 1) <= length) {
                sound++;
            }
            MoveJournalState expected = new MoveJournalState(10);
            expected.apply(first());
            records().subList(0, sound).forEach(expected::apply);
            MoveJournalState read = new MoveJournalState(10);
            try (MoveJournal log = MoveJournal.open(torn, read, null)) {
                assertEquals(length - ends.get(sound), log.tornBytes());
                assertEquals(expected.activeMoves().size(), read.activeMoves().size());
                assertEquals(expected.layout().slices(), read.layout().slices());
                assertEquals(
                        expected.layout().version
                                + (log.tornBytes() == 0
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
    void aFlippedBitBeforeTheEndIsNamedAndNothingIsCut() throws IOException {
        Path file = dir.resolve("moves.log");
        List<Long> ends = written(file);
        byte[] all = Files.readAllBytes(file);
        for (int at = 0; at < ends.get(ends.size() - 2); at += 3) {
            byte[] bad = all.clone();
            bad[at] = (byte) (bad[at] ^ (1 << (at % 8)));
            Path flipped = dir.resolve("flipped");
            Files.write(flipped, bad);
            assertThrows(
                    IOException.class,
                    () -> MoveJournal.open(flipped, new MoveJournalState(10), null).close(),
                    "byte " + at);
            assertTrue(Arrays.equals(bad, Files.readAllBytes(flipped)), "byte " + at);
        }
    }

    @Test
    void compactionKeepsAllThatIsKnown() throws IOException {
        Path file = dir.resolve("moves.log");
        MoveJournalState journalState = new MoveJournalState(10);
        try (MoveJournal log = MoveJournal.open(file, journalState, first())) {
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
                log.append(record);
                log.compact(journalState);
            }
        }
        assertTrue(Files.size(file) < 30_000, "size " + Files.size(file));
        MoveJournalState read = new MoveJournalState(10);
        MoveJournal.open(file, read, null).close();
        assertEquals(text(snapshot(journalState)), text(snapshot(read)));
    }

    @Test
    void aLogInUseOrOfAnotherFormIsNotTouched() throws IOException {
        Path file = dir.resolve("moves.log");
        try (MoveJournal log = MoveJournal.open(file, new MoveJournalState(10), first())) {
            assertEquals(0, log.tornBytes());
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
