package postbeam.datanodes;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.ReadableByteChannel;
import java.time.Duration;

/** Splits the bytes received on one connection into frames. Used only on the I/O thread. */
final class FrameReader {
    /**
     * Time allowed for the rest of a frame. A node writes a frame at once; the limit leaves time
     * for a stall of the router.
     */
    static final Duration MAX_FRAME_DURATION = Duration.ofMillis(400);

    /** Default buffer size; the buffer grows only for a frame that needs more. */
    private static final int BUFFER_BYTES = 4096;

    /** Receives complete frames. */
    interface FrameHandler {
        /** Handles one frame. Called in the order in which the frames were received. */
        void handleFrame(char type, byte[] payload) throws MalformedFrameException;
    }

    private ByteBuffer buffer = newBuffer(BUFFER_BYTES);
    private long lastReadNanos = System.nanoTime();

    /** Receive time of the incomplete frame when first checked; 0 if no frame is incomplete. */
    private long partialSinceNanos;

    private static ByteBuffer newBuffer(int bytes) {
        return ByteBuffer.allocate(bytes).order(ByteOrder.LITTLE_ENDIAN);
    }

    /**
     * Returns when bytes were last received, on the clock of {@link System#nanoTime}; initially the
     * time when the reader was created.
     */
    long lastReadNanos() {
        return lastReadNanos;
    }

    /**
     * Reads all available bytes and passes each complete frame to the handler.
     *
     * @return false at the end of the stream
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
                throw new MalformedFrameException(
                        "frame length "
                                + length
                                + " is not within 1 to "
                                + FrameCodec.MAX_FRAME_BYTES
                                + " bytes");
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

    /**
     * Keeps the unread bytes; grows the buffer for a larger frame and shrinks it again after it.
     */
    private void resizeBuffer(int needed) {
        boolean oversized = needed == BUFFER_BYTES && buffer.capacity() > BUFFER_BYTES;
        if (needed > buffer.capacity() || oversized) {
            buffer = newBuffer(needed).put(buffer);
        } else {
            buffer.compact();
        }
    }

    /**
     * Rejects an incomplete frame when no response is expected or when its rest is overdue. This
     * detects wrong lengths, random bytes and values that never end.
     *
     * @return whether an incomplete frame was found for the first time, so that the caller has to
     *     check again after {@link #MAX_FRAME_DURATION}
     * @throws MalformedFrameException if the incomplete frame is rejected
     */
    boolean checkPartialFrame(boolean responseExpected) throws MalformedFrameException {
        if (buffer.position() == 0) {
            partialSinceNanos = 0;
            return false;
        }
        if (!responseExpected) {
            throw new MalformedFrameException(
                    "received "
                            + buffer.position()
                            + " bytes of an incomplete frame while no response was expected");
        }
        if (partialSinceNanos == 0) {
            partialSinceNanos = lastReadNanos;
            return true;
        }
        if (System.nanoTime() - partialSinceNanos > MAX_FRAME_DURATION.toNanos()) {
            throw new MalformedFrameException(
                    "frame is incomplete after "
                            + MAX_FRAME_DURATION.toMillis()
                            + " ms: received "
                            + buffer.position()
                            + " bytes");
        }
        return false;
    }
}
