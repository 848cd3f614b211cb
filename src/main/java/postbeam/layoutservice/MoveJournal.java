package postbeam.layoutservice;

import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;
import postbeam.json.Json;
import postbeam.migration.MigrationError;
import postbeam.slices.JournalRecord;
import postbeam.slices.MoveJournalState;

/**
 * The log of moves in a file: a mark of its form, then records of a length, a CRC-32C over length
 * and bytes, and the bytes. A record counts once it is whole and on disk. The last one may be torn:
 * it is cut off, since nothing was done on it. A fault anywhere before is no tear, and the log is
 * not used: its place is named, nothing is changed. Compaction writes a new file that begins with
 * all that is known and puts it in the old one's place.
 */
public final class MoveJournal implements Closeable {
    private static final byte[] FORMAT_MARK =
            "postbeam moves 1\n".getBytes(StandardCharsets.US_ASCII);
    private static final int HEADER_BYTES = Integer.BYTES + Integer.BYTES;

    /** Bytes: a whole layout of some 100,000 slices; a longer length is a fault. */
    private static final int MAX_RECORD_BYTES = 64 << 20;

    /** Records after which the log is written anew, beginning with all that is known. */
    private static final int COMPACT_AFTER_RECORDS = 1000;

    private final Path file;
    private final FileChannel lockFile;
    private FileChannel channel;
    private int records;
    private long tornBytes;
    private long term;

    /** Where the next record begins, as far as this process knows. */
    private long end;

    private MoveJournal(Path file, FileChannel lockFile) {
        this.file = file;
        this.lockFile = lockFile;
    }

    /**
     * Opens the log, fills the book from it, and cuts a torn tail off. A log that is not there is
     * begun with this record. An IOException says what is wrong: another process has it, or it is
     * damaged.
     */
    public static MoveJournal open(
            Path file, MoveJournalState journalState, JournalRecord.Snapshot first)
            throws IOException {
        Path lock = file.resolveSibling(file.getFileName() + ".lock");
        FileChannel lockFile =
                FileChannel.open(lock, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            FileLock held = lockFile.tryLock();
            if (held == null) {
                throw new IOException(file + " is in use by another process");
            }
            MoveJournal log = new MoveJournal(file, lockFile);
            if (!Files.exists(file)) {
                if (first == null) {
                    throw new IOException(file + " is not there, and no first layout is given");
                }
                journalState.apply(first);
                log.writeNewFile(first, List.of());
            } else {
                log.read(journalState);
            }
            return log;
        } catch (OverlappingFileLockException e) {
            lockFile.close();
            throw new IOException(file + " is in use by this process", e);
        } catch (IOException | RuntimeException e) {
            lockFile.close();
            throw e;
        }
    }

    /** Bytes of a torn record that were cut off when it was opened. */
    public long tornBytes() {
        return tornBytes;
    }

    private void read(MoveJournalState journalState) throws IOException {
        channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
        try {
            byte[] mark = new byte[FORMAT_MARK.length];
            long size = channel.size();
            if (size < FORMAT_MARK.length || !Arrays.equals(bytes(mark), FORMAT_MARK)) {
                throw new IOException(file + " is no log of moves of a form that is known");
            }
            long at = FORMAT_MARK.length;
            while (at < size) {
                byte[] record = record(at, size);
                if (record == null) {
                    break;
                }
                apply(journalState, record, at);
                at += HEADER_BYTES + record.length;
                records++;
            }
            if (records == 0) {
                throw new IOException(file + " holds no whole record");
            }
            tornBytes = size - at;
            channel.truncate(at);
            channel.position(at);
            end = at;
            if (tornBytes > 0) {
                // Perhaps what was cut off had been whole once, and its version told: that one is
                // not used again.
                JournalRecord.Snapshot whole = journalState.snapshot();
                long next = whole.lastVersion() + 2;
                whole =
                        new JournalRecord.Snapshot(
                                whole.layout().withVersion(next),
                                next,
                                whole.lastMove(),
                                whole.lastSlice(),
                                whole.moves(),
                                whole.target(),
                                whole.pendingDrops());
                journalState.apply(whole);
                append(whole);
            }
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    private void apply(MoveJournalState journalState, byte[] record, long at) throws IOException {
        try {
            Map<String, Object> object = Json.parseObject(record);
            long written = MoveRecordCodec.term(object);
            if (written > 0 && written < journalState.term()) {
                // Slipped in behind a successor's office by one that had been stopped: nothing was
                // done on it.
                return;
            }
            journalState.apply(MoveRecordCodec.read(object));
        } catch (IOException | IllegalArgumentException e) {
            throw new IOException(file + ", byte " + at + ": " + e.getMessage(), e);
        }
    }

    /** The record at this place; null where it is the torn last one. */
    private byte[] record(long at, long size) throws IOException {
        if (size - at < HEADER_BYTES) {
            return null;
        }
        ByteBuffer head = ByteBuffer.wrap(bytes(new byte[HEADER_BYTES]));
        int length = head.getInt();
        int sum = head.getInt();
        boolean fits =
                length > 0 && length <= MAX_RECORD_BYTES && at + HEADER_BYTES + length <= size;
        byte[] record = fits ? bytes(new byte[length]) : null;
        if (fits && checksum(length, record) == sum) {
            return record;
        }
        // A tear leaves the last record short, or its bytes not all written; a whole one behind it
        // proves a fault.
        if (!validRecordFollows(at + 1, size)) {
            return null;
        }
        throw new IOException(
                file
                        + ", byte "
                        + at
                        + ": a damaged record with others behind it; restore the file "
                        + "from a copy, or begin anew from a layout that a router still holds");
    }

    /** Whether a whole record begins anywhere from here on. */
    private boolean validRecordFollows(long from, long size) throws IOException {
        if (size - from > MAX_RECORD_BYTES) {
            return true;
        }
        ByteBuffer rest = ByteBuffer.allocate((int) (size - from));
        while (rest.hasRemaining() && channel.read(rest, from + rest.position()) >= 0) {
            // Until it is all there.
        }
        for (int i = 0; i + HEADER_BYTES < rest.position(); i++) {
            int length = rest.getInt(i);
            if (length > 0 && length <= rest.position() - i - HEADER_BYTES) {
                byte[] record = new byte[length];
                rest.get(i + HEADER_BYTES, record);
                if (checksum(length, record) == rest.getInt(i + Integer.BYTES)) {
                    return true;
                }
            }
        }
        return false;
    }

    private byte[] bytes(byte[] into) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(into);
        while (buffer.hasRemaining()) {
            if (channel.read(buffer) < 0) {
                throw new EOFException(file + " ends within a record");
            }
        }
        return into;
    }

    private static int checksum(int length, byte[] record) {
        CRC32C sum = new CRC32C();
        sum.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).flip());
        sum.update(record);
        return (int) sum.getValue();
    }

    /** A record as it stands in the file. */
    static ByteBuffer frame(JournalRecord record) {
        return frame(record, 0);
    }

    private static ByteBuffer frame(JournalRecord record, long term) {
        byte[] bytes = MoveRecordCodec.write(record, term);
        return ByteBuffer.allocate(HEADER_BYTES + bytes.length)
                .putInt(bytes.length)
                .putInt(checksum(bytes.length, bytes))
                .put(bytes)
                .flip();
    }

    /**
     * Once it returns the record is on disk. After an IOException nothing further may be written:
     * the end is unsure.
     */
    public void append(JournalRecord record) throws IOException {
        ByteBuffer framed = frame(record, term);
        if (term > 0) {
            requireLeadership();
            // At the end, wherever that is by now: a successor's records are never written over.
            channel.position(channel.size());
        }
        end += framed.remaining();
        while (framed.hasRemaining()) {
            channel.write(framed);
        }
        channel.force(false);
        records++;
    }

    /**
     * From now on records carry a term above all before; what others write with a lower one counts
     * no more.
     */
    public long startTerm(MoveJournalState journalState) throws IOException {
        term = journalState.term() + 1;
        JournalRecord.TermStarted office = new JournalRecord.TermStarted(term);
        journalState.apply(office);
        append(office);
        return term;
    }

    /**
     * Guards against one that was stopped past its lock and goes on beside its successor: the log
     * is longer than it left it, or another stands in its place. Hurts where somebody else writes
     * to the file, which nobody may.
     */
    public void requireLeadership() throws IOException {
        if (!isLeader()) {
            throw new LeadershipLostException(
                    new MigrationError.LeadershipLost(
                            term, file + ", which others have written to,"));
        }
    }

    /** Nobody else has written to the log since this process did, as far as one can see. */
    public boolean isLeader() throws IOException {
        return channel.size() == end && Files.size(file) == end;
    }

    /** Somebody else writes to the log. */
    static final class LeadershipLostException extends IOException {
        private static final long serialVersionUID = 1L;

        LeadershipLostException(MigrationError.LeadershipLost error) {
            super(error.message());
        }
    }

    /** Writes the log anew where it has grown long. */
    public void compact(MoveJournalState journalState) throws IOException {
        if (records > COMPACT_AFTER_RECORDS) {
            FileChannel old = channel;
            if (term > 0) {
                requireLeadership();
            }
            writeNewFile(journalState.snapshot(), journalState.recordsAfterSnapshot());
            old.close();
        }
    }

    /**
     * A new file, synced, in place of the old one, and the directory synced: at no time is there no
     * whole log.
     */
    private void writeNewFile(JournalRecord.Snapshot whole, List<JournalRecord> rest)
            throws IOException {
        Path fresh = file.resolveSibling(file.getFileName() + ".new");
        FileChannel next =
                FileChannel.open(
                        fresh,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE);
        try {
            ByteBuffer[] bytes = new ByteBuffer[2 + rest.size()];
            bytes[0] = ByteBuffer.wrap(FORMAT_MARK);
            bytes[1] = frame(whole, term);
            for (int i = 0; i < rest.size(); i++) {
                bytes[2 + i] = frame(rest.get(i), term);
            }
            while (bytes[bytes.length - 1].hasRemaining()) {
                next.write(bytes);
            }
            next.force(true);
            Files.move(
                    fresh,
                    file,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
            try (FileChannel directory = FileChannel.open(file.toAbsolutePath().getParent())) {
                directory.force(true);
            }
        } catch (IOException | RuntimeException e) {
            next.close();
            throw e;
        }
        channel = next;
        end = next.size();
        records = 1;
    }

    @Override
    public void close() throws IOException {
        if (channel != null) {
            channel.close();
        }
        lockFile.close();
    }
}
