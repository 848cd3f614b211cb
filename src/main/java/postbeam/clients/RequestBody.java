package postbeam.clients;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * The received bytes of a request body, in chunks that are reserved one by one: a large array that
 * grows by copying would hold up to three times the length of the body. Used only on the I/O
 * thread.
 */
final class RequestBody {
    /** A usual body fits into one chunk. */
    private static final int CHUNK_BYTES = 4 << 10;

    private final RequestMemory.Reservation memory;
    private final List<ByteBuffer> chunks = new ArrayList<>();
    private int size;

    /** Creates an empty body whose chunks are reserved from this memory. */
    RequestBody(RequestMemory.Reservation memory) {
        this.memory = memory;
    }

    /** Returns the number of received bytes. */
    int size() {
        return size;
    }

    /**
     * Adds a chunk if the last one is full; returns false if the memory for it can't be reserved.
     */
    boolean ensureSpace() {
        if (!chunks.isEmpty() && lastChunk().hasRemaining()) {
            return true;
        }
        if (!memory.resize((chunks.size() + 1L) * CHUNK_BYTES)) {
            return false;
        }
        chunks.add(ByteBuffer.allocate(CHUNK_BYTES));
        return true;
    }

    /**
     * Reads bytes into the last chunk; call {@link #ensureSpace} before.
     *
     * @return the number of bytes; 0 if none are available, -1 at the end of the body
     */
    int read(ReadableByteChannel channel) throws IOException {
        int count = channel.read(lastChunk());
        size += Math.max(0, count);
        return count;
    }

    private ByteBuffer lastChunk() {
        return chunks.get(chunks.size() - 1);
    }

    /** Returns the received bytes, and discards the chunks and the memory reserved for them. */
    byte[] takeBytes() {
        ByteBuffer bytes = ByteBuffer.allocate(size);
        chunks.forEach(chunk -> bytes.put(chunk.flip()));
        discard();
        return bytes.array();
    }

    /** Discards the received bytes and the memory reserved for them. */
    void discard() {
        chunks.clear();
        size = 0;
        memory.release();
    }
}
