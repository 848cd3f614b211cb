package postbeam.datanodes;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.ReadableByteChannel;
import java.time.Duration;

/** Cuts what comes on one connection into frames; on the I/O thread alone. */
final class FrameReader {
    /** How long the rest of a frame may take: a node sends it together, and a router may stall. */
    static final Duration MAX_FRAME_DURATION = Duration.ofMillis(400);

    /** Bytes read at once, and kept while nothing larger comes. */
    private static final int BUFFER_BYTES = 4096;

    /** Takes complete frames. */
    interface FrameHandler {
        /** Called for each frame in the order of the bytes. */
        void handleFrame(char type, byte[] payload) throws MalformedFrameException;
    }

    private ByteBuffer buffer = newBuffer(BUFFER_BYTES);
    private long lastReadNanos = System.nanoTime();

    /** Since when a frame has begun to come; 0 while none has. */
    private long partialSinceNanos;

    private static ByteBuffer newBuffer(int bytes) {
        return ByteBuffer.allocate(bytes).order(ByteOrder.LITTLE_ENDIAN);
    }

    /**
     * When bytes came last, on the clock of {@link System#nanoTime}; at first, when the reader was
     * made.
     */
    long lastReadNanos() {
        return lastReadNanos;
    }

    /**
     * Reads what the channel has, and hands over each frame that is complete.
     *
     * @return false once the channel has ended
     */
    boolean read(ReadableByteChannel channel, FrameHandler handler)
            throws IOException, MalformedFrameException {
        int count;
        while ((count = channel.read(buffer)) > 0) {
            lastReadNanos = System.nanoTime();
            decodeFrames(handler);
        }
        return count >= 0;
    }

    private void decodeFrames(FrameHandler handler) throws MalformedFrameException {
        buffer.flip();
        int needed = BUFFER_BYTES;
        while (buffer.remaining() >= FrameCodec.LENGTH_BYTES) {
            int length = buffer.getInt(buffer.position());
            if (length < 1 || length > FrameCodec.MAX_FRAME_BYTES) {
                throw new MalformedFrameException("a frame of " + length + " bytes");
            }
            if (buffer.remaining() < FrameCodec.LENGTH_BYTES + length) {
                needed = FrameCodec.LENGTH_BYTES + length;
                break;
            }
            decodeFrame(length, handler);
        }
        resizeBuffer(needed);
    }

    private void decodeFrame(int length, FrameHandler handler) throws MalformedFrameException {
        partialSinceNanos = 0;
        buffer.getInt();
        char type = (char) buffer.get();
        byte[] payload = new byte[length - 1];
        buffer.get(payload);
        handler.handleFrame(type, payload);
    }

    /** Keeps what is left; grows for a frame that needs it, and shrinks again after one. */
    private void resizeBuffer(int needed) {
        boolean oversized = needed == BUFFER_BYTES && buffer.capacity() > BUFFER_BYTES;
        if (needed > buffer.capacity() || oversized) {
            buffer = newBuffer(needed).put(buffer);
        } else {
            buffer.compact();
        }
    }

    /**
     * Guards against lengths that do not fit, noise and values that never end: part of a frame
     * where no response is expected, or for too long, leads nowhere any more.
     *
     * @return whether a frame has just begun to come, so that it is to be checked again after
     *     {@link #MAX_FRAME_DURATION}
     */
    boolean checkPartialFrame(boolean responseExpected) throws MalformedFrameException {
        if (buffer.position() == 0) {
            partialSinceNanos = 0;
            return false;
        }
        if (!responseExpected) {
            throw new MalformedFrameException("bytes that belong to nothing");
        }
        if (partialSinceNanos == 0) {
            partialSinceNanos = lastReadNanos;
            return true;
        }
        if (System.nanoTime() - partialSinceNanos > MAX_FRAME_DURATION.toNanos()) {
            throw new MalformedFrameException("a frame that does not end");
        }
        return false;
    }
}
