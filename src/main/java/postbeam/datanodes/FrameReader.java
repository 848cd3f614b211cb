package postbeam.datanodes;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.ReadableByteChannel;
import java.time.Duration;

/**
 * Splits the bytes received on one connection into frames. Used only on the I/O thread.
 *
 * <p>A complete frame is held back while the bytes that follow it don't show whether its length is
 * right; see {@link FrameBoundary}.
 */
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

        /** Returns whether the node still owes other frames once it has sent this one. */
        boolean expectsMoreAfter(char type, byte[] payload);
    }

    /** A complete frame that has not been passed to the handler. */
    @SuppressWarnings("ArrayRecordComponent") // Never compared.
    private record Frame(char type, byte[] payload) {}

    private ByteBuffer buffer = newBuffer(BUFFER_BYTES);
    private long lastReadNanos = System.nanoTime();

    /** Frame before the bytes in the buffer; null if none is held back. */
    private Frame heldFrame;

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
        boolean open = count >= 0;
        if (heldFrame != null && (!open || isHeldFrameFollowedByNoise(handler))) {
            releaseHeldFrameWithoutNext(handler);
        }
        return open;
    }

    private void decodeFrames(FrameHandler handler) throws MalformedFrameException {
        buffer.flip();
        int needed = BUFFER_BYTES;
        while (releaseHeldFrame(handler) && buffer.remaining() >= FrameCodec.LENGTH_BYTES) {
            int length = nextLength();
            if (buffer.remaining() < FrameCodec.LENGTH_BYTES + length) {
                needed = FrameCodec.LENGTH_BYTES + length;
                break;
            }
            heldFrame = takeFrame(length);
        }
        resizeBuffer(needed);
    }

    /**
     * Returns the length of the frame that begins here, and checks its type as soon as it is there:
     * a frame of an unknown type may have a length that never comes.
     */
    private int nextLength() throws MalformedFrameException {
        int length = buffer.getInt(buffer.position());
        if (!FrameCodec.isValidLength(length)) {
            throw new MalformedFrameException(
                    "frame length "
                            + length
                            + " is not within 1 to "
                            + FrameCodec.MAX_FRAME_BYTES
                            + " bytes");
        }
        if (buffer.remaining() >= FrameCodec.HEADER_BYTES) {
            char type = (char) buffer.get(buffer.position() + FrameCodec.LENGTH_BYTES);
            if (!FrameCodec.isNodeFrameType(type)) {
                throw new MalformedFrameException(
                        "unknown frame type 0x" + Integer.toHexString(type));
            }
        }
        return length;
    }

    private Frame takeFrame(int length) {
        partialSinceNanos = 0;
        buffer.getInt();
        char type = (char) buffer.get();
        byte[] payload = new byte[length - 1];
        buffer.get(payload);
        return new Frame(type, payload);
    }

    // ---- the frame that is held back

    /**
     * Passes the held frame to the handler unless the bytes after it leave open whether its length
     * is right.
     *
     * @return whether no frame is held any more
     * @throws MalformedFrameException if the length may be wrong; the frame is not passed on
     */
    private boolean releaseHeldFrame(FrameHandler handler) throws MalformedFrameException {
        if (heldFrame == null) {
            return true;
        }
        FrameBoundary.Following following =
                FrameBoundary.classify(unreadBytes(FrameCodec.HEADER_BYTES));
        if (following == FrameBoundary.Following.INCOMPLETE_HEADER) {
            return false;
        }
        boolean inDoubt =
                following == FrameBoundary.Following.NO_HEADER
                        && FrameBoundary.isInDoubt(
                                heldFrame.payload(),
                                unreadBytes(buffer.remaining()),
                                expectsMoreAfterHeldFrame(handler));
        passOnUnless(inDoubt, handler);
        return true;
    }

    /** Returns whether the bytes after the held frame are neither a frame nor part of its value. */
    private boolean isHeldFrameFollowedByNoise(FrameHandler handler) {
        return !expectsMoreAfterHeldFrame(handler) && !FrameBoundary.isText(receivedBytes());
    }

    /**
     * Decides on the held frame when no frame can begin with the bytes after it: they are the rest
     * of its value if they are text, or else noise.
     */
    private void releaseHeldFrameWithoutNext(FrameHandler handler) throws MalformedFrameException {
        passOnUnless(FrameBoundary.isText(receivedBytes()), handler);
    }

    private void passOnUnless(boolean inDoubt, FrameHandler handler)
            throws MalformedFrameException {
        if (inDoubt) {
            throw new MalformedFrameException(
                    "the length of a frame does not fit the bytes after it: "
                            + heldFrame.payload().length
                            + " bytes of payload");
        }
        Frame frame = heldFrame;
        heldFrame = null;
        handler.handleFrame(frame.type(), frame.payload());
    }

    private boolean expectsMoreAfterHeldFrame(FrameHandler handler) {
        return handler.expectsMoreAfter(heldFrame.type(), heldFrame.payload());
    }

    /** Copies the first bytes of a buffer that is ready to be read. */
    private byte[] unreadBytes(int maxBytes) {
        byte[] bytes = new byte[Math.min(maxBytes, buffer.remaining())];
        buffer.get(buffer.position(), bytes);
        return bytes;
    }

    /** Copies the bytes of a buffer that is ready to be filled. */
    private byte[] receivedBytes() {
        byte[] bytes = new byte[buffer.position()];
        buffer.get(0, bytes);
        return bytes;
    }

    // ---- incomplete frames

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
     * @param handler receives the frame that was held back because of the incomplete one
     * @return whether an incomplete frame was found for the first time, so that the caller has to
     *     check again after {@link #MAX_FRAME_DURATION}
     * @throws MalformedFrameException if the incomplete frame is rejected
     */
    boolean checkPartialFrame(boolean responseExpected, FrameHandler handler)
            throws MalformedFrameException {
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
            if (heldFrame != null) {
                releaseHeldFrameWithoutNext(handler);
            }
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
