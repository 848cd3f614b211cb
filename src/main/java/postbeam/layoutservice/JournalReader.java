package postbeam.layoutservice;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.util.Arrays;

/**
 * Reads a journal file from its beginning. A crash during a write can leave the last record
 * truncated or with some bytes unwritten; such a torn record is not read. Damage before the last
 * record makes the file unusable; it is recognized by a valid record that follows the damage.
 */
final class JournalReader {
    /** Receives the records in the order of the file. */
    interface RecordConsumer {
        void accept(byte[] record, long position) throws IOException;
    }

    private final Path file;
    private final FileChannel channel;

    /** Reads the file through a channel whose position is the beginning of the file. */
    JournalReader(Path file, FileChannel channel) {
        this.file = file;
        this.channel = channel;
    }

    /**
     * Reads all records except a torn last one.
     *
     * @return the position after the last record read
     * @throws IOException the file is not a journal or is damaged, or the consumer rejected a
     *     record
     */
    long readAll(RecordConsumer consumer) throws IOException {
        long size = channel.size();
        byte[] formatMark = JournalFrames.formatMark();
        if (size < formatMark.length || !Arrays.equals(readBytes(formatMark.length), formatMark)) {
            throw new IOException(file + " is not a move journal of format 1");
        }
        long position = formatMark.length;
        while (position < size) {
            byte[] record = readRecord(position, size);
            if (record == null) {
                break;
            }
            consumer.accept(record, position);
            position += JournalFrames.HEADER_BYTES + record.length;
        }
        return position;
    }

    /** Returns the record at this position; null if it is a torn last record. */
    private byte[] readRecord(long position, long size) throws IOException {
        if (size - position < JournalFrames.HEADER_BYTES) {
            return null;
        }
        ByteBuffer header = ByteBuffer.wrap(readBytes(JournalFrames.HEADER_BYTES));
        int length = header.getInt();
        int checksum = header.getInt();
        boolean fitsInFile =
                length > 0
                        && length <= JournalFrames.MAX_RECORD_BYTES
                        && position + JournalFrames.HEADER_BYTES + length <= size;
        byte[] record = fitsInFile ? readBytes(length) : null;
        if (fitsInFile && JournalFrames.checksum(length, record) == checksum) {
            return record;
        }
        if (!validRecordFollows(position + 1, size)) {
            return null;
        }
        throw new IOException(
                file
                        + ", byte "
                        + position
                        + ": a damaged record with others behind it; restore the file from a copy,"
                        + " or start a new journal from a layout that a router still holds");
    }

    /**
     * Returns whether a valid record begins at or after this position. Also returns true if the
     * rest of the file is longer than a record can be, without a search: a torn last record is
     * never that long.
     */
    private boolean validRecordFollows(long start, long size) throws IOException {
        if (size - start > JournalFrames.MAX_RECORD_BYTES) {
            return true;
        }
        ByteBuffer rest = ByteBuffer.allocate((int) (size - start));
        while (rest.hasRemaining() && channel.read(rest, start + rest.position()) >= 0) {
            // Reads until the buffer is full or the file ends.
        }
        for (int i = 0; i + JournalFrames.HEADER_BYTES < rest.position(); i++) {
            if (isValidRecord(rest, i)) {
                return true;
            }
        }
        return false;
    }

    private static boolean isValidRecord(ByteBuffer bytes, int position) {
        int length = bytes.getInt(position);
        if (length <= 0 || length > bytes.position() - position - JournalFrames.HEADER_BYTES) {
            return false;
        }
        byte[] record = new byte[length];
        bytes.get(position + JournalFrames.HEADER_BYTES, record);
        return JournalFrames.checksum(length, record) == bytes.getInt(position + Integer.BYTES);
    }

    private byte[] readBytes(int length) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(length);
        while (buffer.hasRemaining()) {
            if (channel.read(buffer) < 0) {
                throw new EOFException(
                        file + " ended before " + length + " expected bytes were read");
            }
        }
        return buffer.array();
    }
}
