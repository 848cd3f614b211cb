package postbeam.layouts;

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
import postbeam.migration.MigrationError;
import postbeam.setup.Json;
import postbeam.slices.Book;
import postbeam.slices.Logged;

/**
 * The log of moves in a file: a mark of its form, then records of a length, a CRC-32C over length
 * and bytes, and the bytes. A record counts once it is whole and on disk. The last one may be torn:
 * it is cut off, since nothing was done on it. A fault anywhere before is no tear, and the log is
 * not used: its place is named, nothing is changed. Compaction writes a new file that begins with
 * all that is known and puts it in the old one's place.
 */
public final class MoveLog implements Closeable {
    private static final byte[] MARK = "postbeam moves 1\n".getBytes(StandardCharsets.US_ASCII);
    private static final int HEAD = Integer.BYTES + Integer.BYTES;

    /** Bytes: a whole layout of some 100,000 slices; a longer length is a fault. */
    private static final int LONGEST = 64 << 20;

    /** Records after which the log is written anew, beginning with all that is known. */
    private static final int COMPACT_AFTER = 1000;

    private final Path file;
    private final FileChannel lockFile;
    private FileChannel channel;
    private int records;
    private long cut;
    private long term;

    /** Where the next record begins, as far as this process knows. */
    private long end;

    private MoveLog(Path file, FileChannel lockFile) {
        this.file = file;
        this.lockFile = lockFile;
    }

    /**
     * Opens the log, fills the book from it, and cuts a torn tail off. A log that is not there is
     * begun with this record. An IOException says what is wrong: another process has it, or it is
     * damaged.
     */
    public static MoveLog open(Path file, Book book, Logged.Whole first) throws IOException {
        Path lock = file.resolveSibling(file.getFileName() + ".lock");
        FileChannel lockFile =
                FileChannel.open(lock, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            FileLock held = lockFile.tryLock();
            if (held == null) {
                throw new IOException(file + " is in use by another process");
            }
            MoveLog log = new MoveLog(file, lockFile);
            if (!Files.exists(file)) {
                if (first == null) {
                    throw new IOException(file + " is not there, and no first layout is given");
                }
                book.apply(first);
                log.begin(first, List.of());
            } else {
                log.read(book);
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
    public long cut() {
        return cut;
    }

    private void read(Book book) throws IOException {
        channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
        try {
            byte[] mark = new byte[MARK.length];
            long size = channel.size();
            if (size < MARK.length || !Arrays.equals(bytes(mark), MARK)) {
                throw new IOException(file + " is no log of moves of a form that is known");
            }
            long at = MARK.length;
            while (at < size) {
                byte[] record = record(at, size);
                if (record == null) {
                    break;
                }
                apply(book, record, at);
                at += HEAD + record.length;
                records++;
            }
            if (records == 0) {
                throw new IOException(file + " holds no whole record");
            }
            cut = size - at;
            channel.truncate(at);
            channel.position(at);
            end = at;
            if (cut > 0) {
                // Perhaps what was cut off had been whole once, and its version told: that one is
                // not used again.
                Logged.Whole whole = book.whole();
                long next = whole.lastVersion() + 2;
                whole =
                        new Logged.Whole(
                                whole.layout().again(next),
                                next,
                                whole.lastMove(),
                                whole.lastSlice(),
                                whole.moves(),
                                whole.target(),
                                whole.owed());
                book.apply(whole);
                append(whole);
            }
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    private void apply(Book book, byte[] record, long at) throws IOException {
        try {
            Map<String, Object> object = Json.object(record);
            long written = RecordForm.term(object);
            if (written > 0 && written < book.term()) {
                // Slipped in behind a successor's office by one that had been stopped: nothing was
                // done on it.
                return;
            }
            book.apply(RecordForm.read(object));
        } catch (IOException | IllegalArgumentException e) {
            throw new IOException(file + ", byte " + at + ": " + e.getMessage(), e);
        }
    }

    /** The record at this place; null where it is the torn last one. */
    private byte[] record(long at, long size) throws IOException {
        if (size - at < HEAD) {
            return null;
        }
        ByteBuffer head = ByteBuffer.wrap(bytes(new byte[HEAD]));
        int length = head.getInt();
        int sum = head.getInt();
        boolean fits = length > 0 && length <= LONGEST && at + HEAD + length <= size;
        byte[] record = fits ? bytes(new byte[length]) : null;
        if (fits && sum(length, record) == sum) {
            return record;
        }
        // A tear leaves the last record short, or its bytes not all written; a whole one behind it
        // proves a fault.
        if (!soundBehind(at + 1, size)) {
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
    private boolean soundBehind(long from, long size) throws IOException {
        if (size - from > LONGEST) {
            return true;
        }
        ByteBuffer rest = ByteBuffer.allocate((int) (size - from));
        while (rest.hasRemaining() && channel.read(rest, from + rest.position()) >= 0) {
            // Until it is all there.
        }
        for (int i = 0; i + HEAD < rest.position(); i++) {
            int length = rest.getInt(i);
            if (length > 0 && length <= rest.position() - i - HEAD) {
                byte[] record = new byte[length];
                rest.get(i + HEAD, record);
                if (sum(length, record) == rest.getInt(i + Integer.BYTES)) {
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

    private static int sum(int length, byte[] record) {
        CRC32C sum = new CRC32C();
        sum.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).flip());
        sum.update(record);
        return (int) sum.getValue();
    }

    /** A record as it stands in the file. */
    static ByteBuffer framed(Logged record) {
        return framed(record, 0);
    }

    private static ByteBuffer framed(Logged record, long term) {
        byte[] bytes = RecordForm.write(record, term);
        return ByteBuffer.allocate(HEAD + bytes.length)
                .putInt(bytes.length)
                .putInt(sum(bytes.length, bytes))
                .put(bytes)
                .flip();
    }

    /**
     * Once it returns the record is on disk. After an IOException nothing further may be written:
     * the end is unsure.
     */
    public void append(Logged record) throws IOException {
        ByteBuffer framed = framed(record, term);
        if (term > 0) {
            stillInOffice();
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
    public long takeOffice(Book book) throws IOException {
        term = book.term() + 1;
        Logged.Office office = new Logged.Office(term);
        book.apply(office);
        append(office);
        return term;
    }

    /**
     * Guards against one that was stopped past its lock and goes on beside its successor: the log
     * is longer than it left it, or another stands in its place. Hurts where somebody else writes
     * to the file, which nobody may.
     */
    public void stillInOffice() throws IOException {
        if (!inOffice()) {
            throw new OfficeLost(
                    new MigrationError.OfficeLost(term, file + ", which others have written to,"));
        }
    }

    /** Nobody else has written to the log since this process did, as far as one can see. */
    public boolean inOffice() throws IOException {
        return channel.size() == end && Files.size(file) == end;
    }

    /** Somebody else writes to the log. */
    static final class OfficeLost extends IOException {
        private static final long serialVersionUID = 1L;

        OfficeLost(MigrationError.OfficeLost error) {
            super(error.line());
        }
    }

    /** Writes the log anew where it has grown long. */
    public void compact(Book book) throws IOException {
        if (records > COMPACT_AFTER) {
            FileChannel old = channel;
            if (term > 0) {
                stillInOffice();
            }
            begin(book.whole(), book.rest());
            old.close();
        }
    }

    /**
     * A new file, synced, in place of the old one, and the directory synced: at no time is there no
     * whole log.
     */
    private void begin(Logged.Whole whole, List<Logged> rest) throws IOException {
        Path fresh = file.resolveSibling(file.getFileName() + ".new");
        FileChannel next =
                FileChannel.open(
                        fresh,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE);
        try {
            ByteBuffer[] bytes = new ByteBuffer[2 + rest.size()];
            bytes[0] = ByteBuffer.wrap(MARK);
            bytes[1] = framed(whole, term);
            for (int i = 0; i < rest.size(); i++) {
                bytes[2 + i] = framed(rest.get(i), term);
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
