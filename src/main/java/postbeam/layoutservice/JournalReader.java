package postbeam.layoutservice;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.util.Arrays;

/**
 * Reads a journal's file from its beginning. A crash while a record is written leaves that record
 * short or with bytes missing: the last record may be torn so, and is not read. Damage anywhere
 * before, which shows as a valid record behind it, makes the file unusable.
 */
final class JournalReader {
    /** Takes the records in order. */
    interface RecordConsumer {
        void accept(byte[] record, long position) throws IOException;
    }

    private final Path file;
    private final FileChannel channel;

    /** Reads the file through a channel that stands at its beginning. */
    JournalReader(Path file, FileChannel channel) {
        this.file = file;
        this.channel = channel;
    }

    /**
     * Reads all records but a torn last one.
     *
     * @return the position behind the last record read
     * @throws IOException the file is no journal, is damaged, or a record was not taken
     */
    long readAll(RecordConsumer consumer) throws IOException {
        long size = channel.size();
        byte[] mark = JournalFrames.formatMark();
        if (size < mark.length || !Arrays.equals(readBytes(mark.length), mark)) {
            throw new IOException(file + " is no log of moves of a form that is known");
        }
        long position = mark.length;
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

    /** The record at this position; null where it is the torn last one. */
    private byte[] readRecord(long position, long size) throws IOException {
        if (size - position < JournalFrames.HEADER_BYTES) {
            return null;
        }
        ByteBuffer header = ByteBuffer.wrap(readBytes(JournalFrames.HEADER_BYTES));
        int length = header.getInt();
        int checksum = header.getInt();
        boolean fits =
                length > 0
                        && length <= JournalFrames.MAX_RECORD_BYTES
                        && position + JournalFrames.HEADER_BYTES + length <= size;
        byte[] record = fits ? readBytes(length) : null;
        if (fits && JournalFrames.checksum(length, record) == checksum) {
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
                        + " or begin anew from a layout that a router still holds");
    }

    /**
     * Whether a valid record begins anywhere from this position on; also true where there is too
     * much to search.
     */
    private boolean validRecordFollows(long from, long size) throws IOException {
        if (size - from > JournalFrames.MAX_RECORD_BYTES) {
            return true;
        }
        ByteBuffer rest = ByteBuffer.allocate((int) (size - from));
        while (rest.hasRemaining() && channel.read(rest, from + rest.position()) >= 0) {
            // Until it is all there.
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
                throw new EOFException(file + " ends within a record");
            }
        }
        return buffer.array();
    }
}
