package postbeam.layoutservice;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * The format of the journal file: a format mark, then the records. Each record is framed by its
 * length (4 bytes) and a CRC-32C over the length and the record (4 bytes), followed by the record.
 * Numbers are big-endian.
 */
final class JournalFrames {
    static final int HEADER_BYTES = Integer.BYTES + Integer.BYTES;

    /**
     * Large enough for a snapshot of about 100,000 slices; a greater length means a damaged frame.
     */
    static final int MAX_RECORD_BYTES = 64 << 20;

    private static final byte[] FORMAT_MARK =
            "postbeam moves 1\n".getBytes(StandardCharsets.US_ASCII);

    private JournalFrames() {}

    /** Returns the bytes at the beginning of each journal file. */
    static byte[] formatMark() {
        return FORMAT_MARK.clone();
    }

    /** Returns a record with its header, as it is stored in the file. */
    static ByteBuffer frame(byte[] record) {
        return ByteBuffer.allocate(HEADER_BYTES + record.length)
                .putInt(record.length)
                .putInt(checksum(record.length, record))
                .put(record)
                .flip();
    }

    static int checksum(int length, byte[] record) {
        CRC32C checksum = new CRC32C();
        checksum.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).flip());
        checksum.update(record);
        return (int) checksum.getValue();
    }
}
