package postbeam.layoutservice;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import postbeam.json.Json;
import postbeam.migration.MigrationError;
import postbeam.slices.JournalRecord;
import postbeam.slices.MoveJournalState;

/**
 * The journal of moves in a file, in the form of {@link JournalFrames}. A record counts once it is
 * complete and on disk. A torn last record is cut off when the journal is opened, since nothing was
 * done on it; a damaged one anywhere before makes the journal unusable, and nothing is changed.
 * Compaction writes a new file that begins with a snapshot and puts it in the old one's place.
 *
 * <p>A lock file keeps other processes out. Where terms are kept, each record carries its writer's
 * term, and a writer that was paused past its lock notices that the file has been written to by its
 * successor. Not thread-safe: its owner guards it.
 */
final class MoveJournal implements Closeable {
    private static final int COMPACT_AFTER_RECORDS = 1000;

    private final Path file;
    private final FileChannel lockFile;
    private FileChannel channel;
    private int records;
    private long tornBytes;

    /** 0 where terms are not kept. */
    private long term;

    /** Where the next record begins, as far as this process knows. */
    private long end;

    private MoveJournal(Path file, FileChannel lockFile) {
        this.file = file;
        this.lockFile = lockFile;
    }

    /** Another process writes to the journal. */
    static final class LeadershipLostException extends IOException {
        private static final long serialVersionUID = 1L;

        LeadershipLostException(MigrationError.LeadershipLost error) {
            super(error.message());
        }
    }

    // ---- opening

    /**
     * Opens the journal, applies its records to the state, and cuts a torn tail off. A journal that
     * does not exist is begun with a snapshot.
     *
     * @param first the snapshot; null where the journal must exist
     * @throws IOException another process has the journal open, or it is damaged
     */
    static MoveJournal open(Path file, MoveJournalState state, JournalRecord.Snapshot first)
            throws IOException {
        Path lock = file.resolveSibling(file.getFileName() + ".lock");
        FileChannel lockFile =
                FileChannel.open(lock, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            FileLock held = lockFile.tryLock();
            if (held == null) {
                throw new IOException(file + " is in use by another process");
            }
            MoveJournal journal = new MoveJournal(file, lockFile);
            if (Files.exists(file)) {
                journal.read(state);
            } else {
                journal.create(state, first);
            }
            return journal;
        } catch (OverlappingFileLockException e) {
            lockFile.close();
            throw new IOException(file + " is in use by this process", e);
        } catch (IOException | RuntimeException e) {
            lockFile.close();
            throw e;
        }
    }

    private void create(MoveJournalState state, JournalRecord.Snapshot first) throws IOException {
        if (first == null) {
            throw new IOException(file + " is not there, and no first layout is given");
        }
        state.apply(first);
        writeNewFile(first, List.of());
    }

    private void read(MoveJournalState state) throws IOException {
        channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
        try {
            long size = channel.size();
            end =
                    new JournalReader(file, channel)
                            .readAll(
                                    (record, position) -> {
                                        apply(state, record, position);
                                        records++;
                                    });
            if (records == 0) {
                throw new IOException(file + " holds no whole record");
            }
            tornBytes = size - end;
            channel.truncate(end);
            channel.position(end);
            if (tornBytes > 0) {
                skipVersion(state);
            }
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    private void apply(MoveJournalState state, byte[] record, long position) throws IOException {
        try {
            Map<String, Object> object = Json.parseObject(record);
            long recordTerm = MoveRecordCodec.term(object);
            if (recordTerm > 0 && recordTerm < state.term()) {
                // Appended behind its successor's first record by a process that had been paused:
                // never acted on.
                return;
            }
            state.apply(MoveRecordCodec.read(object));
        } catch (IOException | IllegalArgumentException e) {
            throw new IOException(file + ", byte " + position + ": " + e.getMessage(), e);
        }
    }

    /**
     * The torn record may have been complete once, and its version published: the layout goes on
     * under a version that can't have been.
     */
    private void skipVersion(MoveJournalState state) throws IOException {
        JournalRecord.Snapshot snapshot = state.snapshot();
        long version = snapshot.lastVersion() + 2;
        JournalRecord.Snapshot next =
                new JournalRecord.Snapshot(
                        snapshot.layout().withVersion(version),
                        version,
                        snapshot.lastMove(),
                        snapshot.lastSlice(),
                        snapshot.moves(),
                        snapshot.target(),
                        snapshot.pendingDrops());
        state.apply(next);
        append(next);
    }

    /** How many bytes of a torn record were cut off when the journal was opened. */
    long tornBytes() {
        return tornBytes;
    }

    // ---- writing

    /**
     * Appends a record; once this returns the record is on disk.
     *
     * @throws IOException the record may be on disk or not, and nothing further may be written
     */
    void append(JournalRecord record) throws IOException {
        ByteBuffer frame = frame(record);
        if (term > 0) {
            requireLeadership();
            // At the end, wherever that is by now: a successor's records are never overwritten.
            channel.position(channel.size());
        }
        end += frame.remaining();
        while (frame.hasRemaining()) {
            channel.write(frame);
        }
        channel.force(false);
        records++;
    }

    private ByteBuffer frame(JournalRecord record) {
        return JournalFrames.frame(MoveRecordCodec.write(record, term));
    }

    /** Writes the journal anew, beginning with a snapshot, where it has grown long. */
    void compact(MoveJournalState state) throws IOException {
        if (records > COMPACT_AFTER_RECORDS) {
            FileChannel old = channel;
            if (term > 0) {
                requireLeadership();
            }
            writeNewFile(state.snapshot(), state.recordsAfterSnapshot());
            old.close();
        }
    }

    /**
     * A new file, synced, in place of the old one, and the directory synced: there is a complete
     * journal at any time.
     */
    private void writeNewFile(JournalRecord.Snapshot snapshot, List<JournalRecord> following)
            throws IOException {
        List<ByteBuffer> parts = new ArrayList<>();
        parts.add(ByteBuffer.wrap(JournalFrames.formatMark()));
        parts.add(frame(snapshot));
        following.forEach(record -> parts.add(frame(record)));
        Path newFile = file.resolveSibling(file.getFileName() + ".new");
        FileChannel newChannel =
                FileChannel.open(
                        newFile,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE);
        try {
            writeFully(newChannel, parts.toArray(ByteBuffer[]::new));
            newChannel.force(true);
            Files.move(
                    newFile,
                    file,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
            try (FileChannel directory = FileChannel.open(file.toAbsolutePath().getParent())) {
                directory.force(true);
            }
        } catch (IOException | RuntimeException e) {
            newChannel.close();
            throw e;
        }
        channel = newChannel;
        end = newChannel.size();
        records = 1;
    }

    private static void writeFully(FileChannel channel, ByteBuffer[] parts) throws IOException {
        while (parts[parts.length - 1].hasRemaining()) {
            channel.write(parts);
        }
    }

    // ---- terms

    /** Begins a term above all before; records that others write with a lower one count no more. */
    long startTerm(MoveJournalState state) throws IOException {
        term = state.term() + 1;
        JournalRecord.TermStarted started = new JournalRecord.TermStarted(term);
        state.apply(started);
        append(started);
        return term;
    }

    /**
     * Checks that no other process has written to the journal, by its length and by which file
     * stands in its place.
     *
     * @throws LeadershipLostException another process has
     */
    void requireLeadership() throws IOException {
        if (!isLeader()) {
            throw new LeadershipLostException(
                    new MigrationError.LeadershipLost(
                            term, file + ", which others have written to,"));
        }
    }

    /**
     * Whether no other process has written to the journal since this one did, as far as one can
     * see.
     */
    boolean isLeader() throws IOException {
        return channel.size() == end && Files.size(file) == end;
    }

    @Override
    public void close() throws IOException {
        if (channel != null) {
            channel.close();
        }
        lockFile.close();
    }
}
