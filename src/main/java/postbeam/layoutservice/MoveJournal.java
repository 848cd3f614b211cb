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
 * The journal of moves in a file with the format of {@link JournalFrames}. A record is valid once
 * it is complete and on disk. Opening the journal removes a torn last record, since no action
 * depended on it; a damaged record before the last makes the journal unusable, and the file is not
 * changed. Compaction writes a new file that begins with a snapshot and replaces the old one.
 *
 * <p>A lock file excludes other processes. Where terms are in use, each record carries its writer's
 * term, and a writer that was suspended while it lost its lock detects that its successor has
 * written to the file. Not thread-safe: the owner guards it.
 */
final class MoveJournal implements Closeable {
    private static final int COMPACT_AFTER_RECORDS = 1000;

    private final Path file;
    private final FileChannel lockFile;
    private FileChannel channel;

    /**
     * Number of records in the file, compared with {@link #COMPACT_AFTER_RECORDS}. Of the records
     * that a compaction writes, only the snapshot is counted until the journal is opened again.
     */
    private int recordCount;

    private long tornBytes;

    /** The term of records that are written; 0 where terms are not in use. */
    private long term;

    /** The size of the file if no other process has written to it. */
    private long expectedSize;

    private MoveJournal(Path file, FileChannel lockFile) {
        this.file = file;
        this.lockFile = lockFile;
    }

    /** Another process has written to the journal and leads now. */
    static final class LeadershipLostException extends IOException {
        private static final long serialVersionUID = 1L;

        LeadershipLostException(MigrationError.LeadershipLost error) {
            super(error.message());
        }
    }

    // ---- opening

    /**
     * Opens the journal, applies its records to the state and removes a torn last record. A journal
     * that does not exist is created with a snapshot.
     *
     * @param initialSnapshot the snapshot for a new journal; null if the journal must exist
     * @throws IOException the journal is in use, is damaged, or does not exist
     */
    static MoveJournal open(
            Path file, MoveJournalState state, JournalRecord.Snapshot initialSnapshot)
            throws IOException {
        Path lockPath = file.resolveSibling(file.getFileName() + ".lock");
        FileChannel lockFile =
                FileChannel.open(lockPath, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            FileLock lock = lockFile.tryLock();
            if (lock == null) {
                throw new IOException(file + " is in use by another process");
            }
            MoveJournal journal = new MoveJournal(file, lockFile);
            if (Files.exists(file)) {
                journal.read(state);
            } else {
                journal.create(state, initialSnapshot);
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

    private void create(MoveJournalState state, JournalRecord.Snapshot initialSnapshot)
            throws IOException {
        if (initialSnapshot == null) {
            throw new IOException(file + " does not exist, and no initial layout was given");
        }
        state.apply(initialSnapshot);
        writeNewFile(initialSnapshot, List.of());
    }

    private void read(MoveJournalState state) throws IOException {
        channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
        try {
            long size = channel.size();
            expectedSize =
                    new JournalReader(file, channel)
                            .readAll(
                                    (record, position) -> {
                                        apply(state, record, position);
                                        recordCount++;
                                    });
            if (recordCount == 0) {
                throw new IOException(file + " contains no complete record");
            }
            tornBytes = size - expectedSize;
            channel.truncate(expectedSize);
            channel.position(expectedSize);
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
                // Written by a process that was suspended, after the first record of its successor:
                // no action depended on it.
                return;
            }
            state.apply(MoveRecordCodec.read(object));
        } catch (IOException | IllegalArgumentException e) {
            throw new IOException(file + ", byte " + position + ": " + e.getMessage(), e);
        }
    }

    /**
     * Continues under a layout version that can't have been published: the torn record may have
     * been complete once, and its version published.
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

    /** The length of the torn record that was removed on opening, in bytes; 0 if there was none. */
    long tornBytes() {
        return tornBytes;
    }

    // ---- writing

    /**
     * Appends a record. The record is on disk when the method returns.
     *
     * @throws IOException if the write failed; it is not known whether the record is on disk, and
     *     no further record may be written
     */
    void append(JournalRecord record) throws IOException {
        ByteBuffer frame = frame(record);
        if (term > 0) {
            requireLeadership();
            // Always appends at the current end of the file, so that records of a successor are
            // never overwritten.
            channel.position(channel.size());
        }
        expectedSize += frame.remaining();
        while (frame.hasRemaining()) {
            channel.write(frame);
        }
        channel.force(false);
        recordCount++;
    }

    private ByteBuffer frame(JournalRecord record) {
        return JournalFrames.frame(MoveRecordCodec.write(record, term));
    }

    /**
     * Replaces the file by one that begins with a snapshot, if it has more than {@value
     * #COMPACT_AFTER_RECORDS} records.
     */
    void compact(MoveJournalState state) throws IOException {
        if (recordCount > COMPACT_AFTER_RECORDS) {
            FileChannel previousChannel = channel;
            if (term > 0) {
                requireLeadership();
            }
            writeNewFile(state.snapshot(), state.recordsAfterSnapshot());
            previousChannel.close();
        }
    }

    /**
     * Writes and syncs a new file, renames it over the old one and syncs the directory, so that a
     * complete journal exists at any time.
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
        expectedSize = newChannel.size();
        recordCount = 1;
    }

    private static void writeFully(FileChannel channel, ByteBuffer[] parts) throws IOException {
        while (parts[parts.length - 1].hasRemaining()) {
            channel.write(parts);
        }
    }

    // ---- terms

    /**
     * Starts a term that is higher than all before. From then on readers ignore records that
     * another process appends with a lower term.
     *
     * @return the new term
     */
    long startTerm(MoveJournalState state) throws IOException {
        term = state.term() + 1;
        JournalRecord.TermStarted started = new JournalRecord.TermStarted(term);
        state.apply(started);
        append(started);
        return term;
    }

    /**
     * Checks that no other process has written to the journal or replaced its file, by comparing
     * the file's size with the size that this process expects.
     *
     * @throws LeadershipLostException another process has written to it
     */
    void requireLeadership() throws IOException {
        if (!isLeader()) {
            throw new LeadershipLostException(
                    new MigrationError.LeadershipLost(
                            term, file + ", which another process has written to,"));
        }
    }

    /**
     * Returns whether both the open file and the file at the path have the size that this process
     * expects. A write by another process that keeps the size is not detected.
     */
    boolean isLeader() throws IOException {
        return channel.size() == expectedSize && Files.size(file) == expectedSize;
    }

    @Override
    public void close() throws IOException {
        if (channel != null) {
            channel.close();
        }
        lockFile.close();
    }
}
