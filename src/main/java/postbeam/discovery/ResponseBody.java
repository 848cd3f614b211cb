package postbeam.discovery;

import java.io.ByteArrayInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.SequenceInputStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The received bytes of a response body, in chunks: one array that grows by copying would hold up
 * to three times the length of the body.
 */
final class ResponseBody extends OutputStream {
    private static final int MIN_CHUNK_BYTES = 4 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    /** All chunks; only the last one has free space. */
    private final List<byte[]> chunks = new ArrayList<>();

    /** Number of bytes used in the last chunk. */
    private int lastChunkSize;

    private int size;

    /** Returns the number of bytes in the body. */
    int size() {
        return size;
    }

    @Override
    public void write(int octet) {
        write(new byte[] {(byte) octet}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) {
        int written = 0;
        while (written < length) {
            byte[] chunk = chunkWithSpace();
            int count = Math.min(length - written, chunk.length - lastChunkSize);
            System.arraycopy(bytes, offset + written, chunk, lastChunkSize, count);
            lastChunkSize += count;
            written += count;
            size += count;
        }
    }

    private byte[] chunkWithSpace() {
        byte[] last = chunks.isEmpty() ? new byte[0] : chunks.get(chunks.size() - 1);
        if (lastChunkSize < last.length) {
            return last;
        }
        byte[] added = new byte[Math.max(MIN_CHUNK_BYTES, Math.min(2 * size, MAX_CHUNK_BYTES))];
        chunks.add(added);
        lastChunkSize = 0;
        return added;
    }

    /** Returns a stream of all bytes; nothing may be written after this call. */
    InputStream toInputStream() {
        List<InputStream> streams = new ArrayList<>();
        for (int i = 0; i < chunks.size(); i++) {
            boolean isLast = i == chunks.size() - 1;
            byte[] chunk = chunks.get(i);
            streams.add(new ByteArrayInputStream(chunk, 0, isLast ? lastChunkSize : chunk.length));
        }
        return new SequenceInputStream(Collections.enumeration(streams));
    }
}
