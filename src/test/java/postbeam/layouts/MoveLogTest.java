package postbeam.layouts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import postbeam.slices.Book;
import postbeam.slices.Change;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.Logged;
import postbeam.slices.MoveState;
import postbeam.slices.Target;

class MoveLogTest {
    private static final Duration AT = Duration.ofMillis(1234);

    @TempDir private Path dir;

    private static Logged.Whole first() {
        return new Logged.Whole(
                Layout.first(3, List.of("a", "b"), 2), 1, 0, 2, List.of(), null, List.of());
    }

    private static List<Logged> records() {
        return List.of(
                new Logged.Planned(
                        1, new Change.Split(0, List.of(5L, 9L)), List.of(3, 4, 5), null, AT),
                new Logged.Advanced(1, MoveState.FENCED, AT),
                new Logged.CutOver(1, 2, AT),
                new Logged.Planned(2, new Change.Move(1, "a", "c"), List.of(), "b", AT),
                new Logged.Abandoning(2, "it was \"stuck\"", AT),
                new Logged.Back(2, 3, AT),
                new Logged.Aimed(
                        new Target(List.of(new Target.Wanted(KeyRange.ALL, List.of("a", "b"))))),
                new Logged.Advanced(1, MoveState.FORGOTTEN, AT),
                new Logged.Planned(3, new Change.Merge(List.of(3, 4)), List.of(6), null, AT));
    }

    /** The file after each record, the first one's included. */
    private List<Long> written(Path file) throws IOException {
        List<Long> ends = new ArrayList<>();
        try (MoveLog log = MoveLog.open(file, new Book(10), first())) {
            ends.add(Files.size(file));
            for (Logged record : records()) {
                log.append(record);
                ends.add(Files.size(file));
            }
        }
        return ends;
    }

    private static byte[] whole(Book book) {
        return RecordForm.write(book.whole());
    }

    @Test
    void recordsComeBackAsTheyWere() throws IOException {
        Path file = dir.resolve("moves.log");
        written(file);
        Book told = new Book(10);
        told.apply(first());
        records().forEach(told::apply);
        Book read = new Book(10);
        MoveLog.open(file, read, null).close();
        assertEquals(new String(whole(told)), new String(whole(read)));
        Book again = new Book(10);
        again.apply(RecordForm.read(whole(read)));
        assertEquals(new String(whole(read)), new String(whole(again)));
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
            Book told = new Book(10);
            told.apply(first());
            records().subList(0, sound).forEach(told::apply);
            Book read = new Book(10);
            try (MoveLog log = MoveLog.open(torn, read, null)) {
                assertEquals(length - ends.get(sound), log.cut());
                assertEquals(told.moves().size(), read.moves().size());
                assertEquals(told.layout().slices(), read.layout().slices());
                assertEquals(
                        told.layout().version
                                + (log.cut() == 0
                                        ? 0
                                        : told.nextVersion() + 1 - told.layout().version),
                        read.layout().version);
            }
            Book after = new Book(10);
            MoveLog.open(torn, after, null).close();
            assertEquals(new String(whole(read)), new String(whole(after)));
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
            bad[at] ^= 1 << at % 8;
            Path flipped = dir.resolve("flipped");
            Files.write(flipped, bad);
            assertThrows(
                    IOException.class,
                    () -> MoveLog.open(flipped, new Book(10), null).close(),
                    "byte " + at);
            assertTrue(Arrays.equals(bad, Files.readAllBytes(flipped)), "byte " + at);
        }
    }

    @Test
    void compactionKeepsAllThatIsKnown() throws IOException {
        Path file = dir.resolve("moves.log");
        Book book = new Book(10);
        try (MoveLog log = MoveLog.open(file, book, first())) {
            for (int i = 0; i < 1100; i++) {
                Logged record =
                        new Logged.Aimed(
                                i % 2 == 0
                                        ? null
                                        : new Target(
                                                List.of(
                                                        new Target.Wanted(
                                                                KeyRange.ALL, List.of("a", "b")))));
                book.apply(record);
                log.append(record);
                log.compact(book);
            }
        }
        assertTrue(Files.size(file) < 30_000, "size " + Files.size(file));
        Book read = new Book(10);
        MoveLog.open(file, read, null).close();
        assertEquals(new String(whole(book)), new String(whole(read)));
    }

    @Test
    void aLogInUseOrOfAnotherFormIsNotTouched() throws IOException {
        Path file = dir.resolve("moves.log");
        try (MoveLog log = MoveLog.open(file, new Book(10), first())) {
            assertEquals(0, log.cut());
            assertTrue(
                    assertThrows(IOException.class, () -> MoveLog.open(file, new Book(10), null))
                            .getMessage()
                            .contains("in use"));
        }
        Path other = dir.resolve("other");
        Files.writeString(other, "postbeam moves 2\n and more");
        assertTrue(
                assertThrows(IOException.class, () -> MoveLog.open(other, new Book(10), null))
                        .getMessage()
                        .contains("no log of moves"));
        assertThrows(
                IOException.class, () -> MoveLog.open(dir.resolve("none"), new Book(10), null));
    }
}
