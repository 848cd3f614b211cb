package postbeam.layoutservice;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * The form of the journal's file: a format mark, then records, each as its length in 4 bytes, a
 * CRC-32C over length and bytes in 4 bytes, and the bytes. Numbers are big-endian.
 */
final class JournalFrames {
    static final int HEADER_BYTES = Integer.BYTES + Integer.BYTES;

    /** Bytes: a snapshot of some 100,000 slices; a greater length is a fault. */
    static final int MAX_RECORD_BYTES = 64 << 20;

    private static final byte[] FORMAT_MARK =
            "postbeam moves 1\n".getBytes(StandardCharsets.US_ASCII);

    private JournalFrames() {}

    /** The bytes that a journal's file begins with. */
    static byte[] formatMark() {
        return FORMAT_MARK.clone();
    }

    /** A record as it stands in the file. */
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
